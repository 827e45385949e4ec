import { System } from '../common/System.js'
import type { DrainableHttpServer } from './DrainableHttpServer.js'
import { entryLimits } from './entryLimits.js'

/** Server whose connections are watched. */
interface SlowReaderOptions {
  readonly server: DrainableHttpServer
  /** Called with the number of connections that were closed and the bytes that their callers had not taken. */
  readonly onClosed: (closed: { readonly connections: number, readonly bytes: number }) => void
}

/** Bounds the memory that responses take whose callers don't read them. */
export class SlowReaderSystem extends System {
  override readonly name = 'slow-readers'

  constructor (private readonly options: SlowReaderOptions) {
    super()
  }

  override run (): void {
    const { server, onClosed } = this.options
    const closed = server.closeSlowReaders(entryLimits.maxUnsentBytes)
    if (closed.connections > 0) onClosed(closed)
  }
}
