import { createHmac, timingSafeEqual } from 'node:crypto'
import type { Clock } from '../common/Clock.js'
import { entryLimits } from './entryLimits.js'

/** Fields of a request that its signature covers. */
interface SignedRequest {
  readonly method: string
  readonly path: string
  readonly requestId: string
}

/** Sender of a request with a valid signature. */
interface VerifiedSender {
  readonly host: string
  /** Time in ms since the request was signed, by the wall clocks of both hosts. */
  readonly ageMs: number
}

/** Signs and verifies the header `Shunt-Internal: <host>.<time>.<mac>` with the cluster key. */
export class InternalAuth {
  constructor (private readonly clusterKey: string, private readonly clock: Clock) {}

  sign (host: string, request: SignedRequest): string {
    const timeMs = Math.round(this.clock.wallMs())
    return `${host}.${timeMs}.${this.createMac(host, timeMs, request).toString('hex')}`
  }

  /** Returns the sending host, or undefined if the signature is invalid or too old. */
  verify (header: string | undefined, request: SignedRequest): VerifiedSender | undefined {
    const match = /^(.+)\.(\d{1,15})\.([0-9a-f]{64})$/.exec(header ?? '')
    if (match === null) return undefined
    const [, host, time, mac] = match
    const timeMs = Number(time)
    const ageMs = this.clock.wallMs() - timeMs
    if (Math.abs(ageMs) > entryLimits.maxSignatureAgeMs) return undefined
    const expected = this.createMac(host!, timeMs, request)
    return timingSafeEqual(Buffer.from(mac!, 'hex'), expected) ? { host: host!, ageMs } : undefined
  }

  private createMac (host: string, timeMs: number, request: SignedRequest): Buffer {
    const text = `${host}\n${timeMs}\n${request.method}\n${request.path}\n${request.requestId}`
    return createHmac('sha256', this.clusterKey).update(text).digest()
  }
}
