import { InputEdge } from '../common/InputEdge.js'
import { System } from '../common/System.js'
import type { DrainableHttpServer } from '../entry/DrainableHttpServer.js'
import type { RejectedInput } from '../metrics/RejectedInput.js'
import { hostLimits } from './hostLimits.js'

/** Bounds the memory that responses take whose callers don't read them. */
export class SlowReaderSystem extends System {
  override readonly name = 'slow-readers'

  constructor (private readonly front: DrainableHttpServer, private readonly rejected: RejectedInput) {
    super()
  }

  override run (): void {
    const closed = this.front.closeSlowReaders(hostLimits.maxUnsentBytes)
    if (closed.connections > 0) this.rejected.record(InputEdge.caller, 'responses-not-read', closed)
  }
}
