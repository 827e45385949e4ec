import { Table } from '../common/Table.js'
import { peerLimits } from './peerLimits.js'
import type { Heartbeat } from './Heartbeat.js'
import type { HostRecord } from './HostRecord.js'
import type { PeerRow } from './PeerRow.js'

/** The other hosts of the system and what their heartbeats say. */
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

  /** Adds a host or takes in its newer registration. */
  learn (record: HostRecord): PeerRow | undefined {
    if (record.name === this.self) return undefined
    const row = this.rows.ensure(record.name, () => createRow(record))
    if (record.incarnation > row.record.incarnation) row.record = record
    return row
  }

  /** Takes in a heartbeat; an earlier incarnation of the host is ignored. */
  receive (beat: Heartbeat, nowMs: number): PeerRow | undefined {
    const row = this.learn(beat.host)
    if (row === undefined || beat.host.incarnation < row.incarnation) return undefined
    row.record = beat.host
    row.incarnation = beat.host.incarnation
    row.heardAtMs = nowMs
    row.isReady = beat.isReady
    row.isLeaving = beat.isLeaving
    row.loads = new Map(beat.loads)
    row.storeHeardAtMs = beat.storeAgeMs < 0 ? undefined : nowMs - beat.storeAgeMs
    row.isStoreSettled = beat.isStoreSettled
    row.demands = beat.demands
    row.localShares = beat.localShares
    row.breaks = beat.breaks
    return row
  }

  /** Hosts that were heard lately. */
  listAlive (nowMs: number): PeerRow[] {
    return [...this.rows].filter((row) => row.heardAtMs !== undefined && nowMs - row.heardAtMs < peerLimits.deadAfterMs)
  }

  /** Requests of the other live hosts at an endpoint. */
  sumLoads (nowMs: number): Map<string, number> {
    const sums = new Map<string, number>()
    for (const row of this.listAlive(nowMs)) {
      for (const [endpoint, inFlight] of row.loads) sums.set(endpoint, (sums.get(endpoint) ?? 0) + inFlight)
    }
    return sums
  }

  /** Endpoints at which attempts of other live hosts broke: how many hosts, and how many attempts together. */
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
}

function createRow (record: HostRecord): PeerRow {
  return {
    record,
    heardAtMs: undefined,
    isReportedDown: true,
    nextBeatAtMs: 0,
    isBeating: false,
    isReady: false,
    isLeaving: false,
    incarnation: record.incarnation,
    loads: new Map(),
    isStoreSettled: true,
    storeHeardAtMs: undefined,
    demands: [],
    localShares: [],
    breaks: []
  }
}
