import { DenialPolicy } from '../common/DenialPolicy.js'
import type { ResultName } from '../common/ResultName.js'

/** Inputs of the decision. */
interface HostDenialPolicyOptions {
  /** Returns for how long in ms the local copy of the configuration may miss changes. */
  readonly getUnconfirmedMs: () => number
  /** Returns for how long in ms another host is known to have a newer configuration; 0 when none is. */
  readonly getBehindMs: () => number
  /** Returns the time in ms after its acknowledgement from which a change must be in force. */
  readonly getMaxUnconfirmedMs: () => number
}

/** Denies requests while the newest call to the store whose changes this host has is recent, and no other host has a newer configuration. */
export class HostDenialPolicy extends DenialPolicy {
  protected override readonly denials: ReadonlySet<ResultName> = new Set(['unknownService', 'bodyTooLarge', 'headersTooLarge'])

  constructor (private readonly options: HostDenialPolicyOptions) {
    super()
  }

  protected override isConfigComplete (): boolean {
    const { getUnconfirmedMs, getBehindMs, getMaxUnconfirmedMs } = this.options
    return getBehindMs() === 0 && getUnconfirmedMs() <= getMaxUnconfirmedMs()
  }
}
