import { readFileSync, unwatchFile, watchFile } from 'node:fs'
import { createServer } from 'node:http'
import type { RequestListener, Server } from 'node:http'
import { createServer as createTlsServer } from 'node:https'
import type { Server as TlsServer } from 'node:https'
import type { Settings } from '../config/Settings.js'
import type { Logger } from './Logger.js'

/** Limits, TLS files and handler of an HTTP port. */
interface HttpListenerOptions {
  readonly limits: Settings['limits']
  /** Certificate and key files; plain HTTP when absent. */
  readonly tls?: Settings['tls']
  readonly logger: Logger
  readonly onRequest: RequestListener
}

/** Interval in ms at which the certificate and key files are checked for changes. */
const tlsCheckIntervalMs = 1_000

/** Listens for HTTP or HTTPS with the limits of the settings, and reloads the certificate when its files change. */
export class HttpListener {
  private readonly server: Server | TlsServer

  constructor (private readonly options: HttpListenerOptions) {
    const { limits, tls, onRequest } = options
    const common = { maxHeaderSize: limits.maxHeaderBytes, headersTimeout: limits.headersTimeoutMs, keepAliveTimeout: limits.idleTimeoutMs, noDelay: true }
    this.server = tls === undefined ? createServer(common, onRequest) : createTlsServer({ ...common, ...readTls(tls) }, onRequest)
    this.server.maxConnections = limits.maxConnections
    if (tls !== undefined) for (const file of [tls.certFile, tls.keyFile]) watchFile(file, { interval: tlsCheckIntervalMs, persistent: false }, this.reloadTls)
  }

  /** Starts listening; rejects when the address can't be bound. */
  async listen (address: string, port: number): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject)
      this.server.listen(port, address, resolve)
    })
  }

  /** Stops accepting connections, waits up to `timeoutMs` for requests in flight, then closes the remaining connections. */
  async close (timeoutMs: number): Promise<void> {
    const { tls } = this.options
    if (tls !== undefined) for (const file of [tls.certFile, tls.keyFile]) unwatchFile(file, this.reloadTls)
    const timer = setTimeout(() => this.server.closeAllConnections(), timeoutMs)
    await new Promise<void>((resolve) => {
      this.server.close(() => resolve())
      this.server.closeIdleConnections()
    })
    clearTimeout(timer)
  }

  /** Reloads certificate and key. While they don't match, because only one file has been replaced, the old pair stays in use. */
  private readonly reloadTls = (): void => {
    const { tls, logger } = this.options
    if (tls === undefined || !('setSecureContext' in this.server)) return
    try {
      this.server.setSecureContext(readTls(tls))
      logger.info('tls-reloaded', { cert: tls.certFile })
    } catch (err) {
      logger.warn('tls-reload-failed', { cert: tls.certFile, message: (err as Error).message })
    }
  }
}

function readTls (tls: NonNullable<Settings['tls']>): { cert: Buffer, key: Buffer } {
  return { cert: readFileSync(tls.certFile), key: readFileSync(tls.keyFile) }
}
