import { CatalogTable } from '../catalog/CatalogTable.js'
import type { TableFreshness } from '../catalog/TableFreshness.js'
import type { Clock } from '../common/Clock.js'
import { DenialPolicy } from '../common/DenialPolicy.js'
import type { ResultName } from '../common/ResultName.js'

/** Inputs of the decision. */
interface HostDenialPolicyOptions {
  readonly freshness: TableFreshness
  readonly clock: Clock
  /** Returns the time in ms after its acknowledgement from which a change of the configuration must be in force. */
  readonly readMaxUnconfirmedMs: () => number
}

/** Denies requests while the newest call to the store whose changes this host has is recent, and no other host has a newer configuration. */
export class HostDenialPolicy extends DenialPolicy {
  protected override readonly denials: ReadonlySet<ResultName> = new Set(['unknownService', 'bodyTooLarge', 'headersTooLarge'])

  constructor (private readonly options: HostDenialPolicyOptions) {
    super()
  }

  protected override isConfigComplete (): boolean {
    const { freshness, clock, readMaxUnconfirmedMs } = this.options
    const nowMs = clock.nowMs()
    return freshness.getBehindMs(CatalogTable.orders, nowMs) === 0 && freshness.getUnconfirmedMs(CatalogTable.orders, nowMs) <= readMaxUnconfirmedMs()
  }
}
