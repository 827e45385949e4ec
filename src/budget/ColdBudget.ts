import { rankByRendezvous } from '../common/rankByRendezvous.js'
import { Table } from '../common/Table.js'

/** Hosts that may send to one cold endpoint. */
const sendersPerEndpoint = 3

/** Share of the rate that is used; the rest covers hosts that see other members. */
const safetyFactor = 0.9

/** Time in ms for which the choice of senders is kept; placing asks for each request. */
const senderRefreshMs = 100

/** When this host may send to a cold endpoint again. */
interface ColdRow {
  nextAtMs: number
  /** This host is one of the senders, as of a moment ago. */
  isSender: boolean
  nextSenderRefreshMs: number
}

/**
 * Bounds the requests to a cold endpoint over all hosts. A few hosts, chosen by rendezvous hashing of the endpoint,
 * share its rate evenly and never send two requests at once, so the sum holds without messages between them.
 */
export class ColdBudget {
  private readonly rows = new Table<ColdRow>()

  constructor (
    private readonly host: string,
    /** Names of the hosts that may send now, this one included. */
    private readonly listHosts: () => readonly string[]
  ) {}

  /** Takes leave to send one request to a cold endpoint. */
  take (endpoint: string, perSecond: number, nowMs: number): boolean {
    const row = this.rows.ensure(endpoint, () => ({ nextAtMs: nowMs, isSender: false, nextSenderRefreshMs: nowMs }))
    if (nowMs < row.nextAtMs || perSecond <= 0) return false
    this.refreshSender(row, endpoint, nowMs)
    if (!row.isSender) return false
    row.nextAtMs = nowMs + 1_000 * sendersPerEndpoint / (perSecond * safetyFactor)
    return true
  }

  private refreshSender (row: ColdRow, endpoint: string, nowMs: number): void {
    if (nowMs < row.nextSenderRefreshMs) return
    row.isSender = rankByRendezvous(endpoint, this.listHosts()).slice(0, sendersPerEndpoint).includes(this.host)
    row.nextSenderRefreshMs = nowMs + senderRefreshMs
  }

  /** Forgets endpoints that are gone. */
  retain (isRegistered: (endpoint: string) => boolean): void {
    this.rows.deleteWhere((_row, endpoint) => !isRegistered(endpoint))
  }
}
