import type { Socket } from 'node:net'

/** Use of one connection. */
interface ConnectionUse {
  readonly number: number
  requests: number
}

/** Numbers the connections of a client and counts the requests on each, so that log lines can tell which attempts shared one. */
export class ConnectionUses {
  private readonly uses = new WeakMap<Socket, ConnectionUse>()
  private connections = 0

  /** Counts a request; returns the number of its connection and its place there, as in `12/3` for the third request on connection 12. */
  count (connection: Socket): string {
    const use = this.uses.get(connection) ?? this.add(connection)
    use.requests += 1
    return `${use.number}/${use.requests}`
  }

  private add (connection: Socket): ConnectionUse {
    this.connections += 1
    const use = { number: this.connections, requests: 0 }
    this.uses.set(connection, use)
    return use
  }
}
