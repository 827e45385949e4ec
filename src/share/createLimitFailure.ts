import { createFailure } from '../common/createFailure.js'
import type { Failure } from '../common/Failure.js'
import type { Contract } from '../model/Contract.js'
import type { BlockingLimit } from './BlockingLimit.js'

/** Why a request is refused. */
interface LimitFailureOptions {
  readonly limit: BlockingLimit
  readonly customer: string
  readonly contract: Contract
  /** True when the queue in front of the limit is full. */
  readonly isQueueFull: boolean
  /** Expected time in ms until a request could be admitted. */
  readonly waitMs: number
}

const failureNames = { rate: 'rateCap', permit: 'concurrencyCap', quarantine: 'quarantine' } as const
const minRetryAfterMs = 50
const maxRetryAfterMs = 30_000

/** Builds the refusal that names the limit and the time after which a retry may help. */
export function createLimitFailure (input: LimitFailureOptions): Failure {
  const text = describe(input)
  const retryAfterMs = Math.round(Math.min(maxRetryAfterMs, Math.max(minRetryAfterMs, input.waitMs)))
  const message = input.isQueueFull ? `the queue of customer "${input.customer}" is full and waits for ${text}` : `customer "${input.customer}" has reached ${text}`
  return createFailure(input.isQueueFull ? 'queueFull' : failureNames[input.limit], { message, retryAfterMs })
}

function describe ({ limit, contract }: LimitFailureOptions): string {
  if (limit === 'rate') return `its rate cap of ${contract.rate}/s`
  if (limit === 'permit') return `its concurrency cap of ${contract.concurrency}`
  return 'the end of the wait after the restart of a host'
}
