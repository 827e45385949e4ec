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
  /** Forwards of this host in flight, by service. */
  forwardsInFlight: Map<string, number>
  /** Copy of `forwardsInFlight` from the arrival of the last digest, whose loads include about these forwards. */
  forwardsAtDigest: Map<string, number>
}

/** Load of the other hosts that own endpoints, from their digests and the forwards of this host since. */
export class OwnerTable {
  private readonly rows = new Table<OwnerRow>()

  constructor (private readonly host: string) {}

  /** Applies the configuration and the members of a view. */
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

  /** Returns the hosts with a free slot for a request of the service. */
  listCandidates (service: string, excluded: ReadonlySet<string>, nowMs: number): RemoteCandidate[] {
    const candidates: RemoteCandidate[] = []
    for (const row of this.rows) {
      const load = row.loads.get(service)
      if (load === undefined || !row.isUsable || nowMs < row.pausedUntilMs || excluded.has(row.spec.name)) continue
      const used = load.used + load.queued + countForwardsSinceDigest(row, service)
      if (used >= load.slots) continue
      candidates.push({ host: row.spec.name, spec: row.spec, region: row.region, delayMs: row.delayMs, slots: load.slots, used, serviceMs: load.serviceMs })
    }
    return candidates
  }

  /** Returns true when a usable host owns an endpoint of the service, even if no slot is free. */
  hasOwner (service: string): boolean {
    return [...this.rows].some((row) => row.isUsable && (row.loads.get(service)?.slots ?? 0) > 0)
  }

  /** Returns the slots of a service in a region, summed over its hosts. */
  countSlots (service: string, region: string): number {
    return [...this.rows]
      .filter((row) => row.region === region)
      .reduce((sum, row) => sum + (row.loads.get(service)?.slots ?? 0), 0)
  }

  /** Counts a forward as in flight. */
  recordForward (host: string, service: string): void {
    const row = this.rows.get(host)
    if (row !== undefined) row.forwardsInFlight.set(service, (row.forwardsInFlight.get(service) ?? 0) + 1)
  }

  /** Records the result of a forward. An owner that shed the request or could not be reached is avoided for a short time. */
  recordForwardResult (host: string, service: string, result: AttemptResult, nowMs: number): void {
    const row = this.rows.get(host)
    if (row === undefined) return
    row.forwardsInFlight.set(service, Math.max(0, (row.forwardsInFlight.get(service) ?? 0) - 1))
    const isFailure = result === AttemptResult.shed || result === AttemptResult.refused || result === AttemptResult.broken || result === AttemptResult.timeout
    if (isFailure) row.pausedUntilMs = nowMs + steerLimits.ownerPauseMs
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
    row.forwardsAtDigest = new Map(row.forwardsInFlight)
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
    forwardsInFlight: new Map(),
    forwardsAtDigest: new Map()
  }
}

/** Returns the number of forwards that the last digest cannot include yet. */
function countForwardsSinceDigest (row: OwnerRow, service: string): number {
  return Math.max(0, (row.forwardsInFlight.get(service) ?? 0) - (row.forwardsAtDigest.get(service) ?? 0))
}
