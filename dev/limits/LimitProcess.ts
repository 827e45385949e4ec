import { ColdStartRateLimiter } from '../../src/budget/ColdStartRateLimiter.js'
import { NamedRateLimiter } from '../../src/budget/NamedRateLimiter.js'
import { RetryAllowance } from '../../src/budget/RetryAllowance.js'
import type { RetryShares } from '../../src/budget/RetryShares.js'
import { ServiceRetryBudget } from '../../src/budget/ServiceRetryBudget.js'
import type { Clock } from '../../src/common/Clock.js'
import { EndpointTable } from '../../src/endpoints/EndpointTable.js'
import type { EndpointRow } from '../../src/endpoints/EndpointRow.js'
import { listRateLimits } from '../../src/endpoints/listRateLimits.js'
import { rateLimitCodec } from '../../src/endpoints/rateLimitCodec.js'
import { recordRateLimit } from '../../src/endpoints/recordRateLimit.js'
import { KnownHosts } from '../../src/host/KnownHosts.js'
import type { Heartbeat } from '../../src/peers/Heartbeat.js'
import type { HostRecord } from '../../src/peers/HostRecord.js'
import { PeerTable } from '../../src/peers/PeerTable.js'
import type { RetryBounds } from './RetryBounds.js'

/** Start of a process. */
interface LimitProcessOptions {
  readonly record: HostRecord
  readonly clock: Clock
  /** No process of any host ran before. */
  readonly isFirstStart: boolean
  readonly readRetryBounds: () => RetryBounds
}

const positions = { orders: 1, endpoints: 1, hosts: 1 }
const endpoint = { id: 'e-1', address: '10.0.1.1:1', service: 'stock', zone: 'north-a', slots: 1, isDraining: false, coldMs: 0, bornAtMs: 1 }

/** What one process of a host knows, with the allocators of the product wired as in `HostProcess`. Tests override parts of it with faults. */
export class LimitProcess {
  readonly peers: PeerTable
  readonly retries: ServiceRetryBudget
  readonly cold: ColdStartRateLimiter
  readonly named: NamedRateLimiter
  /** The endpoint that names a limit. */
  readonly endpoint: EndpointRow
  /** The table of hosts has been received. */
  hasTable = false
  private readonly known: KnownHosts
  private readonly allowance: RetryAllowance

  constructor (protected readonly options: LimitProcessOptions) {
    const { record, clock, isFirstStart, readRetryBounds } = options
    const endpoints = new EndpointTable(() => record.region, () => 0)
    endpoints.update([endpoint], { nowMs: clock.nowMs(), mayHaveLapsed: false })
    this.endpoint = endpoints.get(endpoint.id)!
    this.peers = new PeerTable(record.name)
    this.known = new KnownHosts({ self: record, peers: this.peers, clock, isReady: () => true, hasTable: () => this.hasTable })
    this.allowance = new RetryAllowance({
      startMs: isFirstStart ? -Infinity : clock.nowMs(),
      readWindowMs: () => readRetryBounds().retryWindowMs,
      countHosts: () => this.countHosts()
    })
    this.retries = new ServiceRetryBudget(readRetryBounds, (nowMs) => this.getShares(nowMs))
    this.cold = new ColdStartRateLimiter(record.name, () => this.listLiveNames())
    this.named = new NamedRateLimiter(record.name, () => this.listRecentNames())
  }

  /** Takes over the hosts of the store's table. */
  readTable (records: readonly HostRecord[]): void {
    this.hasTable = true
    for (const record of records) this.peers.upsert(record)
  }

  /** Takes over what the endpoint named in a response. */
  hearResponse (perSecond: number | undefined, nowMs: number): void {
    this.endpoint.announced.ownRateLimit = { perSecond, heardAtMs: nowMs }
    recordRateLimit(this.endpoint, { perSecond, heardAtMs: nowMs })
  }

  describe (isLeaving: boolean, nowMs: number): Heartbeat {
    return {
      host: this.options.record,
      isReady: true,
      isLeaving,
      storeAgeMs: 0,
      tableAges: positions,
      isStoreSettled: true,
      versions: positions,
      eras: positions,
      loads: [],
      breaks: [],
      rateLimits: listRateLimits([this.endpoint], nowMs),
      backoffs: [],
      demands: [],
      localShares: [],
      pages: []
    }
  }

  /** Takes over a heartbeat, and the limit that it names as `MaintenanceSystem` does. */
  receive (heartbeat: Heartbeat, nowMs: number): void {
    this.peers.receive(heartbeat, nowMs)
    for (const { rateLimits, lastHeartbeatAtMs } of this.peers.listAlive(nowMs)) {
      for (const report of rateLimits) recordRateLimit(this.endpoint, rateLimitCodec.decode(report, lastHeartbeatAtMs!))
    }
  }

  /** Describes what the process knows and may use, to count distinct states. */
  describeState (nowMs: number): string {
    const { ofRatio, ofSlack } = this.getShares(nowMs)
    const used = this.retries.list(nowMs).map(({ requests, retries }) => `${requests}/${retries}`).join()
    return [this.countHosts(), this.listLiveNames().length, this.listRecentNames().length, ofRatio, ofSlack.toFixed(3), used, this.endpoint.announced.rateLimit?.perSecond].join(' ')
  }

  protected countHosts (): number | undefined {
    return this.known.count()
  }

  protected getShares (nowMs: number): RetryShares {
    return this.allowance.get(nowMs)
  }

  protected listLiveNames (): readonly string[] {
    return this.known.listLiveNames()
  }

  protected listRecentNames (): readonly string[] {
    return this.known.listRecentNames()
  }
}
