import { hashName } from '../common/hashName.js'
import { Table } from '../common/Table.js'
import type { AnnouncedState } from './AnnouncedState.js'
import { AnnouncedStates } from './AnnouncedStates.js'
import { endpointLimits } from './endpointLimits.js'
import type { EndpointRecord } from './EndpointRecord.js'
import type { EndpointRow } from './EndpointRow.js'

/** Conditions under which the table is updated from the registry. */
interface UpdateContext {
  readonly nowMs: number
  /** Entries may have lapsed while the store was unavailable, so endpoints without an entry are not removed yet. */
  readonly mayHaveLapsed: boolean
}

/** An endpoint that began to leave with an update. */
interface LeavingEndpoint {
  readonly id: string
  /** False when its entry is gone. */
  readonly isDraining: boolean
  /** Time in ms for which it stays listed, as its entry may only have lapsed. */
  readonly keptMs: number
}

/** Holds the endpoints of the registry by the id of their incarnation. */
export class EndpointTable {
  private readonly rows = new Table<EndpointRow>()
  private byService = new Map<string, EndpointRow[]>()
  /** What removed and replaced incarnations announced. */
  private readonly announcedStates = new AnnouncedStates()
  private changes = 0

  constructor (private readonly findRegion: (zone: string) => string, private readonly readDrainMs: () => number) {}

  /** Increases whenever the set of listed endpoints changes. */
  get generation (): number {
    return this.changes
  }

  get (id: string): EndpointRow | undefined {
    return this.rows.get(id)
  }

  /** Lists the endpoints of a service, without leaving and removed ones. */
  listService (service: string): readonly EndpointRow[] {
    return this.byService.get(service) ?? []
  }

  /** Lists the services that have endpoints. */
  listServices (): string[] {
    return [...this.byService.keys()]
  }

  [Symbol.iterator] (): IterableIterator<EndpointRow> {
    return this.rows[Symbol.iterator]()
  }

  /** Updates the table from `records`, the complete set of registry entries; returns the endpoints that began to leave. */
  update (records: readonly EndpointRecord[], context: UpdateContext): LeavingEndpoint[] {
    const registeredIds = new Set(records.map((record) => record.id))
    const draining = records.filter((record) => record.isDraining && this.rows.get(record.id)?.record.isDraining === false)
    const changed = records.filter((record) => this.updateRow(record, context.nowMs))
    const missing = [...this.rows].filter((row) => !registeredIds.has(row.record.id) && row.expiresAtMs === undefined)
    this.markMissing(missing, context.nowMs)
    const removed = this.deleteMissing(context)
    if (changed.length > 0 || removed > 0) this.rebuild()
    return [
      ...draining.map(({ id }) => ({ id, isDraining: true, keptMs: 0 })),
      ...missing.map(({ record, expiresAtMs }) => ({ id: record.id, isDraining: false, keptMs: expiresAtMs! - context.nowMs }))
    ]
  }

  /** Records that an endpoint said it is leaving, whatever its entry says, or (`undefined`) that it no longer does. */
  setLeaving (row: EndpointRow, sinceMs: number | undefined): void {
    row.announced.leavingSinceMs = sinceMs
    this.rebuild()
  }

  /** Removes endpoints without an entry after their grace period, unless their entries may have lapsed in a store outage. */
  removeExpired (context: UpdateContext): void {
    if (this.deleteMissing(context) > 0) this.rebuild()
  }

  private deleteMissing ({ nowMs, mayHaveLapsed }: UpdateContext): number {
    if (mayHaveLapsed) return 0
    const expired = [...this.rows].filter((row) => row.expiresAtMs !== undefined && row.expiresAtMs <= nowMs)
    for (const { record, announced } of expired) {
      this.announcedStates.keep(record, announced)
      this.rows.delete(record.id)
    }
    return expired.length
  }

  /**
   * Sets when endpoints without an entry may be removed. Entries that disappear together have probably lapsed in an outage
   * of the store that no call detected, and are about to be written again.
   */
  private markMissing (missing: readonly EndpointRow[], nowMs: number): void {
    const unannounced = missing.filter((row) => !row.record.isDraining)
    const isMassExpiry = unannounced.length >= endpointLimits.minLapsedEntries && unannounced.length > this.rows.size * endpointLimits.minLapsedShare
    const keptMs = Math.max(0, Math.min(endpointLimits.lapseGraceMs, this.readDrainMs() - endpointLimits.drainPropagationMs))
    for (const row of missing) row.expiresAtMs = isMassExpiry && !row.record.isDraining ? nowMs + keptMs : nowMs
  }

  /** Adds or updates an endpoint; returns true when the lists by service must be rebuilt. */
  private updateRow (record: EndpointRecord, nowMs: number): boolean {
    const existing = this.rows.get(record.id)
    if (existing === undefined || existing.record.bornAtMs !== record.bornAtMs || existing.record.address !== record.address) {
      const announced = this.announcedStates.take(record)
      if (existing !== undefined) this.announcedStates.keep(existing.record, existing.announced)
      this.rows.set(record.id, createRow(record, this.findRegion(record.zone), announced, nowMs))
      return true
    }
    const hasNewColdPeriod = record.coldMs > 0 && record.coldMs !== existing.record.coldMs
    if (hasNewColdPeriod) existing.coldUntilMs = nowMs + record.coldMs
    const needsRebuild = existing.record.isDraining !== record.isDraining || existing.record.service !== record.service
    existing.record = record
    existing.expiresAtMs = undefined
    return needsRebuild
  }

  private rebuild (): void {
    this.changes += 1
    this.byService = new Map()
    for (const row of this.rows) {
      if (row.record.isDraining || row.announced.leavingSinceMs !== undefined) continue
      const group = this.byService.get(row.record.service) ?? []
      group.push(row)
      this.byService.set(row.record.service, group)
    }
  }
}

function createRow (record: EndpointRecord, region: string, announced: AnnouncedState | undefined, nowMs: number): EndpointRow {
  const leavingSinceMs = announced?.leavingSinceMs
  return {
    record,
    region,
    hash: hashName(record.id),
    inFlight: 0,
    reportedOtherInFlight: 0,
    reportedAtMs: -endpointLimits.loadReportValidMs,
    peerInFlight: 0,
    coldUntilMs: nowMs + record.coldMs,
    announced: announced ?? { rateLimit: undefined, ownRateLimit: undefined, leavingSinceMs: undefined, backoffUntilMs: -Infinity, ownBackoffUntilMs: -Infinity },
    isSuspect: false,
    nextProbeAtMs: leavingSinceMs === undefined ? 0 : leavingSinceMs + endpointLimits.leavingHoldMs,
    isProbing: false,
    failures: 0,
    breaks: 0,
    lastBreakAtMs: -Infinity,
    lastSuccessAtMs: -Infinity,
    peerReportsIgnoredUntilMs: 0,
    failureShare: 0,
    ejectedUntilMs: 0,
    shedBackoffUntilMs: 0,
    dedicatedConnectionsUntilMs: 0,
    serviceTimeMs: 0,
    expiresAtMs: undefined
  }
}
