import { Agent } from 'node:http'
import type { Duplex } from 'node:stream'
import { connect } from 'node:tls'

/** Options that the base class passes to `createConnection`. */
type ConnectionOptions = Parameters<Agent['createConnection']>[0]

/**
 * Connects over TLS to another process of the same host, with one connection per request. The certificate is issued for
 * the public host name and not for this address, so it is not verified; the traffic does not leave the host.
 */
export class OwnHostTlsAgent extends Agent {
  constructor () {
    super({ keepAlive: false })
  }

  override createConnection (options: ConnectionOptions): Duplex {
    return connect({ host: options.host ?? '', port: Number(options.port), rejectUnauthorized: false })
  }
}
