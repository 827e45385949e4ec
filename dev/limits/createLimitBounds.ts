import { ColdLimitBound } from './ColdLimitBound.js'
import type { LimitBound } from './LimitBound.js'
import { NamedLimitBound } from './NamedLimitBound.js'
import { RetryLimitBound } from './RetryLimitBound.js'

/** Creates all bounds that are checked. */
export function createLimitBounds (): LimitBound[] {
  return [new RetryLimitBound(), new ColdLimitBound(), new NamedLimitBound()]
}
