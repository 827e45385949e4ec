import type { Socket } from 'node:net'
import { hashName } from '../common/hashName.js'
import { entryLimits } from './entryLimits.js'

/** What is known of one connection. */
interface ConnectionRecord {
  readonly number: number
  requests: number
  /** Hashes of the ids of the requests that were refused on it; the ids themselves are as long as callers make them. */
  readonly refusedIds: Set<number>
  /** True if a response came on it that doesn't name its request. */
  hasUnnamedResponse: boolean
}

/** Records of the open connections of a client: numbers for log lines, and what was refused on each. */
export class ConnectionRecords {
  private readonly records = new WeakMap<Socket, ConnectionRecord>()
  private connections = 0

  /** Counts a request; returns the number of its connection and its place there, as in `12/3` for the third request on connection 12. */
  count (connection: Socket): string {
    const record = this.records.get(connection) ?? this.add(connection)
    record.requests += 1
    return `${record.number}/${record.requests}`
  }

  /**
   * Records that a request was refused on a connection. The receiver may write a second copy of the refusal there; with the id
   * of the request it couldn't be told from the response to a second attempt.
   */
  recordRefusal (connection: Socket, requestId: string): void {
    this.records.get(connection)?.refusedIds.add(hashName(requestId))
  }

  /** Returns true when a request was refused on one of the connections, and rarely for another request whose id has the same hash. */
  hasRefused (connections: readonly Socket[], requestId: string): boolean {
    const refusedIds = connections.map((connection) => this.records.get(connection)?.refusedIds).filter((ids) => ids !== undefined && ids.size > 0)
    if (refusedIds.length === 0) return false
    const hash = hashName(requestId)
    return refusedIds.some((ids) => ids!.has(hash))
  }

  /** Records a response that doesn't name its request, after which a copy of it couldn't be told from the next response. */
  recordUnnamed (connection: Socket): void {
    const record = this.records.get(connection)
    if (record !== undefined) record.hasUnnamedResponse = true
  }

  /** Returns false for a connection on which responses can't be told apart, or so many requests were refused that no more are recorded. */
  isReusable (connection: Socket): boolean {
    const record = this.records.get(connection)
    return record === undefined || (!record.hasUnnamedResponse && record.refusedIds.size < entryLimits.maxRefusedIds)
  }

  private add (connection: Socket): ConnectionRecord {
    this.connections += 1
    const record = { number: this.connections, requests: 0, refusedIds: new Set<number>(), hasUnnamedResponse: false }
    this.records.set(connection, record)
    return record
  }
}
