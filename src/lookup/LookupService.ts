import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { Clock } from '../common/Clock.js'
import { VersionDenialPolicy } from '../common/VersionDenialPolicy.js'
import { createFailure } from '../common/createFailure.js'
import type { Failure } from '../common/Failure.js'
import type { ConfigDoc } from '../model/ConfigDoc.js'
import type { Contract } from '../model/Contract.js'
import type { HostSpec } from '../model/HostSpec.js'
import type { Member } from '../model/Member.js'
import { MemberState } from '../model/MemberState.js'
import { lookupTtl } from '../model/lookupTtl.js'
import type { View } from '../model/View.js'
import type { Candidate } from './Candidate.js'
import type { HostRanking } from './HostRanking.js'
import { isChanging } from './isChanging.js'
import type { LookupResponse } from './LookupResponse.js'
import type { LookupEntry } from './LookupEntry.js'
import { LookupIndex } from './LookupIndex.js'

/** Dependencies of a lookup service. */
interface LookupServiceOptions {
  readonly clock: Clock
  readonly ranking: HostRanking
  /** Zone of this host, also used for clients whose site is unknown. */
  readonly zone: string
  /** True when callers use TLS. */
  readonly tls: boolean
  /** Returns the site (region or zone) of a client's address. */
  readonly findSite: (client: string) => string | undefined
}

/** Parameters of a lookup. */
interface LookupQuery {
  readonly service?: string | undefined
  /** IP address of the client. */
  readonly client: string
}

const notReadyRetryMs = 500

/** Period after its announcement in which a drain shortens the lifetime of lookup responses. */
const drainChangeMs = 30_000

/** Answers lookups from the latest configuration and view, regardless of their age. */
export class LookupService {
  private readonly denials = new VersionDenialPolicy()
  private index: LookupIndex | undefined
  private members: ReadonlyMap<string, Member> = new Map()
  private leavingHosts: ReadonlySet<string> = new Set()
  private view: View | undefined
  /** Cached, because checking thousands of members on each lookup would take longer than the ranking. */
  private isClusterChanging = true

  constructor (private readonly options: LookupServiceOptions) {}

  /** Version of the configuration in use; undefined before the first one is received. */
  get version (): number | undefined {
    return this.index?.doc.version
  }

  applyConfig (doc: ConfigDoc): void {
    this.index = new LookupIndex(doc, this.index)
    this.denials.setVersion(doc.version)
    this.updateChanging()
  }

  applyView (view: View): void {
    this.view = view
    this.denials.setView(view)
    this.members = new Map(view.members.map((member) => [member.host, member]))
    this.leavingHosts = new Set(view.leavingHosts)
    this.updateChanging()
  }

  /** Returns the contract that accepts the credential with this hash. Failures: `notReady`, `wrongCredential`. */
  findContract (credentialHash: string): Result<Contract, Failure> {
    if (this.index === undefined) return err(createFailure('notReady', { retryAfterMs: notReadyRetryMs }))
    const contract = this.index.findContract(credentialHash)
    return contract === undefined ? err(createFailure('wrongCredential')) : ok(contract)
  }

  /** Selects entry hosts for a client. Failures: `notReady`, `unknownService`, `serviceNotInContract`, `noCapacity` when no host is usable. */
  lookUp (contract: Contract, query: LookupQuery): Result<LookupResponse, Failure> {
    const { index, view } = this
    if (index === undefined || view === undefined) return err(createFailure('notReady', { retryAfterMs: notReadyRetryMs }))
    const refusal = checkService(index, contract, query.service)
    if (refusal !== undefined) return err(this.denials.check(refusal))
    const candidates = this.listCandidates(index, contract)
    if (candidates.length === 0) return err(createFailure('noCapacity', { message: 'No entry host is serving.', retryAfterMs: notReadyRetryMs }))
    const ranked = this.options.ranking.rank({
      contract,
      client: query.client,
      ...this.locateClient(index, query.client),
      serviceRegions: query.service === undefined ? undefined : index.listServiceRegions(query.service),
      candidates,
      linkBytesPerSecond: (from, to) => index.linkBytesPerSecond(from, to)
    })
    const ttlMs = this.isClusterChanging || this.hasRecentDrain(index) ? lookupTtl.changingMs : lookupTtl.settledMs
    return ok({ version: index.doc.version, ttlMs, entries: ranked.map((candidate) => this.createEntry(candidate)) })
  }

  private updateChanging (): void {
    if (this.index !== undefined && this.view !== undefined) this.isClusterChanging = isChanging(this.index.doc, this.view)
  }

  private hasRecentDrain ({ doc }: LookupIndex): boolean {
    const wallMs = this.options.clock.wallMs()
    return doc.drains.some(({ atMs }) => Math.abs(wallMs - atMs) < drainChangeMs)
  }

  /** Returns the usable home hosts or, without any, all usable hosts, because those can borrow permits. */
  private listCandidates (index: LookupIndex, contract: Contract): Candidate[] {
    const usableHomeHosts = this.selectUsable(index, index.listHomeHosts(contract))
    return usableHomeHosts.length > 0 ? usableHomeHosts : this.selectUsable(index, index.doc.hosts)
  }

  private selectUsable (index: LookupIndex, hosts: readonly HostSpec[]): Candidate[] {
    return hosts.flatMap((host) => {
      const member = this.members.get(host.name)
      const digest = member?.digest
      if (member === undefined || digest === undefined) return []
      const isUnavailable = member.state === MemberState.dead || this.leavingHosts.has(host.name) || index.isDrained(host)
      if (isUnavailable || !digest.serving || digest.leaving) return []
      return [{ host, region: index.zoneRegions.get(host.zone) ?? '', state: member.state, digest }]
    })
  }

  private locateClient (index: LookupIndex, client: string): { zone: string | undefined, region: string | undefined } {
    const site = this.options.findSite(client)
    if (site !== undefined && index.regions.has(site) && !index.zoneRegions.has(site)) return { zone: undefined, region: site }
    const zone = site !== undefined && index.zoneRegions.has(site) ? site : this.options.zone
    return { zone, region: index.zoneRegions.get(zone) }
  }

  private createEntry ({ host, region, digest }: Candidate): LookupEntry {
    const scheme = this.options.tls ? 'https' : 'http'
    return {
      host: host.name,
      zone: host.zone,
      region,
      url: `${scheme}://${host.address}:${host.ports.caller}`,
      keyPrefix: `${host.name}.${digest.entryIncarnation}.`
    }
  }
}

function checkService (index: LookupIndex, contract: Contract, service: string | undefined): Failure | undefined {
  if (service === undefined || contract.services.includes(service)) return undefined
  const serviceExists = index.doc.services.some(({ name }) => name === service)
  return createFailure(serviceExists ? 'serviceNotInContract' : 'unknownService')
}
