import { Table } from '../common/Table.js'
import { computeDeadAfterMs } from './computeDeadAfterMs.js'
import { peerLimits } from './peerLimits.js'
import type { Heartbeat } from './Heartbeat.js'
import type { HostRecord } from './HostRecord.js'
import type { PeerRow } from './PeerRow.js'

/** Holds the other hosts and the state from their heartbeats. */
export class PeerTable implements Iterable<PeerRow> {
  private readonly rows = new Table<PeerRow>()

  constructor (private readonly self: string) {}

  get size (): number {
    return this.rows.size
  }

  get (name: string): PeerRow | undefined {
    return this.rows.get(name)
  }

  [Symbol.iterator] (): IterableIterator<PeerRow> {
    return this.rows[Symbol.iterator]()
  }

  /** Adds a host or applies a newer registration. Returns undefined for this host itself. */
  upsert (record: HostRecord): PeerRow | undefined {
    if (record.name === this.self) return undefined
    const row = this.rows.ensure(record.name, () => createRow(record))
    if (record.incarnation > row.record.incarnation) row.record = record
    return row
  }

  /** Applies a heartbeat. Returns undefined when it comes from this host itself or from an earlier incarnation. */
  receive (heartbeat: Heartbeat, nowMs: number): PeerRow | undefined {
    const row = this.upsert(heartbeat.host)
    if (row === undefined || heartbeat.host.incarnation < row.incarnation) return undefined
    row.record = heartbeat.host
    row.incarnation = heartbeat.host.incarnation
    row.lastHeartbeatAtMs = nowMs
    row.positions = { versions: heartbeat.versions, eras: heartbeat.eras }
    row.isReady = heartbeat.isReady
    row.isLeaving = heartbeat.isLeaving
    row.loads = new Map(heartbeat.loads)
    row.isStoreSettled = heartbeat.isStoreSettled
    row.demands = heartbeat.demands
    row.localShares = heartbeat.localShares
    row.breaks = heartbeat.breaks
    row.rateLimits = heartbeat.rateLimits
    row.backoffs = heartbeat.backoffs
    return row
  }

  /** Returns the round trip time in ms to the nearest host of a region; 0 when none has been measured. */
  getRoundTripMs (region: string): number {
    let nearestMs = Infinity
    for (const row of this.rows) if (row.record.region === region && row.roundTripMs !== undefined) nearestMs = Math.min(nearestMs, row.roundTripMs)
    return nearestMs === Infinity ? 0 : nearestMs
  }

  /** Lists the hosts whose last heartbeat is recent. */
  listAlive (nowMs: number): PeerRow[] {
    return this.listHeard(nowMs, ({ heartbeatIntervalMs }) => computeDeadAfterMs(heartbeatIntervalMs))
  }

  /** Lists the hosts that may still send requests: live ones, and silent ones that may only be cut off. */
  listRecent (nowMs: number): PeerRow[] {
    return this.listHeard(nowMs, ({ heartbeatIntervalMs, isLeaving }) => isLeaving ? computeDeadAfterMs(heartbeatIntervalMs) : peerLimits.recentMs)
  }

  /** Sums the requests in flight of the other live hosts by endpoint. */
  sumLoads (nowMs: number): Map<string, number> {
    const sums = new Map<string, number>()
    for (const row of this.listAlive(nowMs)) {
      for (const [endpoint, inFlight] of row.loads) sums.set(endpoint, (sums.get(endpoint) ?? 0) + inFlight)
    }
    return sums
  }

  /** Sums reports of broken attempts from the other live hosts by endpoint: the number of hosts and the total of their broken attempts. */
  sumBreaks (nowMs: number): Map<string, { hosts: number, breaks: number }> {
    const sums = new Map<string, { hosts: number, breaks: number }>()
    for (const row of this.listAlive(nowMs)) {
      for (const [endpoint, count] of row.breaks) {
        const sum = sums.get(endpoint) ?? { hosts: 0, breaks: 0 }
        sums.set(endpoint, { hosts: sum.hosts + 1, breaks: sum.breaks + count })
      }
    }
    return sums
  }

  /** Lists the hosts whose last heartbeat is younger than the time in ms for which it counts. */
  private listHeard (nowMs: number, getValidMs: (row: PeerRow) => number): PeerRow[] {
    return [...this.rows].filter((row) => row.lastHeartbeatAtMs !== undefined && nowMs - row.lastHeartbeatAtMs < getValidMs(row))
  }
}

function createRow (record: HostRecord): PeerRow {
  return {
    record,
    lastHeartbeatAtMs: undefined,
    isReportedDown: true,
    nextHeartbeatAtMs: 0,
    heartbeatIntervalMs: peerLimits.sameRegionHeartbeatMs,
    roundTripMs: undefined,
    isHeartbeatInFlight: false,
    isReady: false,
    isLeaving: false,
    incarnation: record.incarnation,
    loads: new Map(),
    isStoreSettled: true,
    positions: undefined,
    report: undefined,
    tableContacts: new Map(),
    demands: [],
    localShares: [],
    breaks: [],
    rateLimits: [],
    backoffs: []
  }
}
