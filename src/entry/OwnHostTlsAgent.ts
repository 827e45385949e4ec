import { Agent } from 'node:http'
import type { Duplex } from 'node:stream'
import { connect } from 'node:tls'

/** What the base class hands to `createConnection`. */
type ConnectionOptions = Parameters<Agent['createConnection']>[0]

/**
 * Connects by TLS to another process of the own host, one connection per request. The certificate names the public
 * host name and not this address, so it is not checked; the traffic does not leave the host.
 */
export class OwnHostTlsAgent extends Agent {
  constructor () {
    super({ keepAlive: false })
  }

  override createConnection (options: ConnectionOptions): Duplex {
    return connect({ host: options.host ?? '', port: Number(options.port), rejectUnauthorized: false })
  }
}
