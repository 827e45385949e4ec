import { Table } from '../common/Table.js'
import type { ConfigDoc } from '../model/ConfigDoc.js'
import type { HostSpec } from '../model/HostSpec.js'
import type { Member } from '../model/Member.js'
import { MemberState } from '../model/MemberState.js'
import type { ServiceLoad } from '../model/ServiceLoad.js'
import { AttemptResult } from './AttemptResult.js'
import { hopDelays } from './hopDelays.js'
import type { RemoteCandidate } from './RemoteCandidate.js'
import { steerLimits } from './steerLimits.js'

/** Another host that owns endpoints. */
interface OwnerRow {
  spec: HostSpec
  region: string
  delayMs: number
  loads: Map<string, ServiceLoad>
  isUsable: boolean
  pausedUntilMs: number
  digestSeq: number
  /** Own forwards in flight, by service. */
  forwards: Map<string, number>
  /** The same when the last digest arrived; the digest shows about these. */
  forwardsAtDigest: Map<string, number>
}

/** Owning hosts as their digests describe them, less what this host has sent them since. */
export class OwnerTable {
  private readonly rows = new Table<OwnerRow>()

  constructor (private readonly host: string) {}

  /** Takes in the members of a view. */
  update (doc: ConfigDoc, members: readonly Member[]): void {
    const regionOf = new Map(doc.zones.map((zone) => [zone.name, zone.region]))
    const self = doc.hosts.find((host) => host.name === this.host)
    const byName = new Map(members.map((member) => [member.host, member]))
    const names = new Set<string>()
    for (const spec of doc.hosts) {
      if (spec.name === this.host) continue
      names.add(spec.name)
      const region = regionOf.get(spec.zone) ?? ''
      const delayMs = estimateDelay(spec, region, self, regionOf)
      this.updateRow(spec, region, delayMs, byName.get(spec.name))
    }
    this.rows.deleteWhere((_row, name) => !names.has(name))
  }

  /** Hosts with room for a request of the service. */
  listCandidates (service: string, excluded: ReadonlySet<string>, nowMs: number): RemoteCandidate[] {
    const candidates: RemoteCandidate[] = []
    for (const row of this.rows) {
      const load = row.loads.get(service)
      if (load === undefined || !row.isUsable || nowMs < row.pausedUntilMs || excluded.has(row.spec.name)) continue
      const used = load.used + load.queued + countSinceDigest(row, service)
      if (used >= load.slots) continue
      candidates.push({ host: row.spec.name, spec: row.spec, region: row.region, delayMs: row.delayMs, slots: load.slots, used, serviceMs: load.serviceMs })
    }
    return candidates
  }

  /** True when any usable host owns an endpoint of the service, busy or not. */
  hasOwner (service: string): boolean {
    return [...this.rows].some((row) => row.isUsable && (row.loads.get(service)?.slots ?? 0) > 0)
  }

  /** Slots of a service in a region, over its hosts. */
  countSlots (service: string, region: string): number {
    return [...this.rows]
      .filter((row) => row.region === region)
      .reduce((sum, row) => sum + (row.loads.get(service)?.slots ?? 0), 0)
  }

  /** Counts a forward as in flight. */
  noteForward (host: string, service: string): void {
    const row = this.rows.get(host)
    if (row !== undefined) row.forwards.set(service, (row.forwards.get(service) ?? 0) + 1)
  }

  /** Takes in how a forward ended; an owner that shed or could not be reached is avoided for a short time. */
  noteResult (host: string, service: string, result: AttemptResult, nowMs: number): void {
    const row = this.rows.get(host)
    if (row === undefined) return
    row.forwards.set(service, Math.max(0, (row.forwards.get(service) ?? 0) - 1))
    const isRefusal = result === AttemptResult.shed || result === AttemptResult.refused || result === AttemptResult.broken || result === AttemptResult.timeout
    if (isRefusal) row.pausedUntilMs = nowMs + steerLimits.ownerPauseMs
  }

  private updateRow (spec: HostSpec, region: string, delayMs: number, member: Member | undefined): void {
    const row = this.rows.ensure(spec.name, () => createOwnerRow(spec, region, delayMs))
    row.spec = spec
    row.region = region
    row.delayMs = delayMs
    const digest = member?.digest
    row.isUsable = member?.state === MemberState.alive && digest?.serving === true && !digest.leaving
    if (digest === undefined || digest.seq === row.digestSeq) return
    row.digestSeq = digest.seq
    row.forwardsAtDigest = new Map(row.forwards)
    row.loads = new Map(digest.loads.map((load) => [load.service, load]))
  }
}

function estimateDelay (spec: HostSpec, region: string, self: HostSpec | undefined, regionOf: ReadonlyMap<string, string>): number {
  if (self?.zone === spec.zone) return hopDelays.sameZone
  return self !== undefined && regionOf.get(self.zone) === region ? hopDelays.sameRegion : hopDelays.otherRegion
}

function createOwnerRow (spec: HostSpec, region: string, delayMs: number): OwnerRow {
  return {
    spec,
    region,
    delayMs,
    loads: new Map(),
    digestSeq: -1,
    isUsable: false,
    pausedUntilMs: -Infinity,
    forwards: new Map(),
    forwardsAtDigest: new Map()
  }
}

/** Forwards that the last digest can't show yet. */
function countSinceDigest (row: OwnerRow, service: string): number {
  return Math.max(0, (row.forwards.get(service) ?? 0) - (row.forwardsAtDigest.get(service) ?? 0))
}
