import { rankByRendezvous } from '../common/rankByRendezvous.js'
import { Table } from '../common/Table.js'

/** Number of hosts that may send to a cold endpoint. */
const sendersPerEndpoint = 3

/** Share of the permitted rate that is used; the margin covers hosts with differing views of the membership. */
const safetyFactor = 0.9

/** Time in ms for which the selection of senders is cached, since it is needed for each request. */
const senderRefreshMs = 100

/** State of a cold endpoint at this host. */
interface ColdEndpointRow {
  nextAtMs: number
  /** This host is one of the senders, as of the last refresh. */
  isSender: boolean
  nextSenderRefreshMs: number
}

/**
 * Limits the rate of requests to each cold endpoint across all hosts. A few hosts, selected by rendezvous hashing for the
 * endpoint, share its rate evenly and send without bursts, so the limit holds without coordination messages.
 */
export class ColdStartRateLimiter {
  private readonly rows = new Table<ColdEndpointRow>()

  constructor (
    private readonly host: string,
    /** Lists the names of the hosts that may send now, including this one. */
    private readonly listHosts: () => readonly string[]
  ) {}

  /** Takes a permit to send one request to a cold endpoint; returns false when none is available. */
  take (endpoint: string, perSecond: number, nowMs: number): boolean {
    const row = this.rows.ensure(endpoint, () => ({ nextAtMs: nowMs, isSender: false, nextSenderRefreshMs: nowMs }))
    if (nowMs < row.nextAtMs || perSecond <= 0) return false
    this.refreshSender(row, endpoint, nowMs)
    if (!row.isSender) return false
    row.nextAtMs = nowMs + 1_000 * sendersPerEndpoint / (perSecond * safetyFactor)
    return true
  }

  private refreshSender (row: ColdEndpointRow, endpoint: string, nowMs: number): void {
    if (nowMs < row.nextSenderRefreshMs) return
    row.isSender = rankByRendezvous(endpoint, this.listHosts()).slice(0, sendersPerEndpoint).includes(this.host)
    row.nextSenderRefreshMs = nowMs + senderRefreshMs
  }

  /** Drops the state of endpoints that are no longer registered. */
  retain (isRegistered: (endpoint: string) => boolean): void {
    this.rows.deleteWhere((_row, endpoint) => !isRegistered(endpoint))
  }
}
