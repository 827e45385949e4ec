import type { IncomingMessage } from 'node:http'

/** A request body: the buffered bytes, and the stream of the bytes that have not been read. */
export class RequestBody {
  /** True once a byte of the stream was forwarded; the body cannot be replayed afterwards. */
  hasForwardedBytes = false

  /** `length` is undefined for a chunked body whose end has not been received. */
  constructor (
    readonly bytes: Buffer,
    readonly length: number | undefined,
    readonly stream: IncomingMessage | undefined,
    readonly maxBytes: number,
    /** Sends `100 Continue` to a caller that waits for it. */
    readonly sendContinue: () => void = () => {}
  ) {}

  get isReplayable (): boolean {
    return this.stream === undefined || !this.hasForwardedBytes
  }
}
