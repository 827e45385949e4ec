import { createFailure } from '../common/createFailure.js'
import type { Failure } from '../common/Failure.js'
import type { Contract } from '../model/Contract.js'
import type { Blocker } from './Blocker.js'

/** Why a request is refused. */
interface LimitInput {
  readonly limit: Blocker
  readonly customer: string
  readonly contract: Contract
  /** True when the queue in front of the limit is full. */
  readonly full: boolean
  /** Expected time in ms until a request could be admitted. */
  readonly waitMs: number
}

const names = { rate: 'rateCap', permit: 'concurrencyCap', quarantine: 'quarantine' } as const
const shortestRetryMs = 50
const longestRetryMs = 30_000

/** Builds the refusal that names the limit and the time after which a retry may help. */
export function describeLimit (input: LimitInput): Failure {
  const text = describe(input)
  const retryAfterMs = Math.round(Math.min(longestRetryMs, Math.max(shortestRetryMs, input.waitMs)))
  const message = input.full ? `the queue of customer "${input.customer}" is full and waits for ${text}` : `customer "${input.customer}" has reached ${text}`
  return createFailure(input.full ? 'queueFull' : names[input.limit], { message, retryAfterMs })
}

function describe ({ limit, contract }: LimitInput): string {
  if (limit === 'rate') return `its rate cap of ${contract.rate}/s`
  if (limit === 'permit') return `its concurrency cap of ${contract.concurrency}`
  return 'the end of the wait after the restart of a host'
}
