import { createFailure } from '../common/createFailure.js'
import type { Failure } from '../common/Failure.js'
import type { Contract } from '../model/Contract.js'
import type { BlockingLimit } from './BlockingLimit.js'

/** Describes the limit that a request exceeded. */
interface LimitFailureOptions {
  readonly limit: BlockingLimit
  readonly customer: string
  readonly contract: Contract
  /** True when the request was refused because the customer's queue is full. */
  readonly isQueueFull: boolean
  /** Expected time in ms until a request could be admitted. */
  readonly waitMs: number
}

const failureNames = { rate: 'rateCap', permit: 'concurrencyCap', quarantine: 'quarantine' } as const
const minRetryAfterMs = 50
const maxRetryAfterMs = 30_000

/** Creates the failure that names the limit and the time after which a retry may succeed. */
export function createLimitFailure (options: LimitFailureOptions): Failure {
  const limit = describeLimit(options)
  const retryAfterMs = Math.round(Math.min(maxRetryAfterMs, Math.max(minRetryAfterMs, options.waitMs)))
  const message = options.isQueueFull
    ? `the queue of customer "${options.customer}" is full; admission is limited by ${limit}`
    : `customer "${options.customer}" is limited by ${limit}`
  return createFailure(options.isQueueFull ? 'queueFull' : failureNames[options.limit], { message, retryAfterMs })
}

function describeLimit ({ limit, contract }: LimitFailureOptions): string {
  if (limit === 'rate') return `its rate cap of ${contract.rate}/s`
  if (limit === 'permit') return `its concurrency cap of ${contract.concurrency}`
  return 'the quarantine after the restart of a host'
}
