import { SystemClock } from '../../src/common/SystemClock.js'
import { DrainableHttpServer } from '../../src/entry/DrainableHttpServer.js'

type FrontOptions = ConstructorParameters<typeof DrainableHttpServer>[0]

/** Creates a server that keeps its connections open; `options` overrides its defaults. */
export function createFrontServer (options: Partial<FrontOptions> & Pick<FrontOptions, 'onRequest'>): DrainableHttpServer {
  return new DrainableHttpServer({
    clock: new SystemClock(),
    limits: { maxConnections: 10, maxHeaderBytes: 16_384, headersTimeoutMs: 5_000, idleTimeoutMs: 5_000 },
    closesConnections: () => false,
    createRequestId: () => '',
    onRefused: () => {},
    onException: () => {},
    ...options
  })
}
