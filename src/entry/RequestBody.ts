import type { IncomingMessage } from 'node:http'

/** A request body: bytes that are held, and the rest that is still to be read. */
export class RequestBody {
  /** True once a byte of the rest was passed on; the body cannot be sent again then. */
  hasForwardedBytes = false

  /** `length` is undefined for a chunked body whose end has not been seen. */
  constructor (
    readonly bytes: Buffer,
    readonly length: number | undefined,
    readonly rest: IncomingMessage | undefined,
    readonly maxBytes: number,
    /** Tells a caller that waits with `Expect: 100-continue` to send the rest. */
    readonly sendContinue: () => void = () => {}
  ) {}

  get isReplayable (): boolean {
    return this.rest === undefined || !this.hasForwardedBytes
  }
}
