import { rankByRendezvous } from '../common/rankByRendezvous.js'
import { Table } from '../common/Table.js'

/** Time in ms for which the selection of senders is cached, since it is needed for each request. */
const senderRefreshMs = 100

/** State of a limited endpoint at this host. */
interface LimitedEndpointRow {
  /** Permits that may be taken at `updatedAtMs`, in fractions. */
  permits: number
  updatedAtMs: number
  /** This host is one of the senders, as of the last refresh. */
  isSender: boolean
  /** Number of senders as of the last refresh; at least 1. */
  senders: number
  nextSenderRefreshMs: number
}

/**
 * Limits the rate of requests to each of some endpoints across all hosts. Hosts that are selected by rendezvous hashing for
 * the endpoint share its rate evenly and keep few unused permits, so the limit holds without coordination messages.
 */
export abstract class SharedRateLimiter {
  private readonly rows = new Table<LimitedEndpointRow>()

  constructor (
    private readonly host: string,
    /** Lists the names of the hosts that may send now, including this one. */
    private readonly listHosts: () => readonly string[]
  ) {}

  /** Returns the largest number of hosts that may send to an endpoint. */
  protected abstract countSenders (perSecond: number): number

  /** Returns the time in ms between two requests of one of the `senders` to an endpoint; 0 for no limit, Infinity when there are to be none. */
  protected abstract computeIntervalMs (perSecond: number, senders: number): number

  /** Returns the number of unused permits that one of the `senders` keeps, at least 1. */
  protected abstract computeCapacity (perSecond: number, senders: number): number

  /** Returns true when this host may send a request to an endpoint now. */
  mayTake (endpoint: string, perSecond: number, nowMs: number): boolean {
    const row = this.rows.ensure(endpoint, () => ({ permits: 1, updatedAtMs: nowMs, isSender: false, senders: 1, nextSenderRefreshMs: nowMs }))
    this.refreshSender(row, endpoint, perSecond, nowMs)
    const intervalMs = this.computeIntervalMs(perSecond, row.senders)
    if (intervalMs === 0) return row.isSender
    if (intervalMs === Infinity) return false
    row.permits = Math.min(this.computeCapacity(perSecond, row.senders), row.permits + (nowMs - row.updatedAtMs) / intervalMs)
    row.updatedAtMs = nowMs
    return row.isSender && row.permits >= 1
  }

  /** Takes a permit to send one request to an endpoint; returns false when none is available. */
  take (endpoint: string, perSecond: number, nowMs: number): boolean {
    if (!this.mayTake(endpoint, perSecond, nowMs)) return false
    this.spend(endpoint)
    return true
  }

  /** Takes the permit that `mayTake` has just found, for a request that needs permits of several limiters. */
  spend (endpoint: string): void {
    const row = this.rows.get(endpoint)
    if (row !== undefined) row.permits = Math.max(0, row.permits - 1)
  }

  private refreshSender (row: LimitedEndpointRow, endpoint: string, perSecond: number, nowMs: number): void {
    if (nowMs < row.nextSenderRefreshMs) return
    const senders = rankByRendezvous(endpoint, this.listHosts()).slice(0, this.countSenders(perSecond))
    row.isSender = senders.includes(this.host)
    row.senders = Math.max(1, senders.length)
    row.nextSenderRefreshMs = nowMs + senderRefreshMs
  }

  /** Drops the state of endpoints that are no longer registered. */
  retain (isRegistered: (endpoint: string) => boolean): void {
    this.rows.deleteWhere((_row, endpoint) => !isRegistered(endpoint))
  }
}
