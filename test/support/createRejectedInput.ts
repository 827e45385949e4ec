import { Registry } from 'prom-client'
import type { Logger } from '../../src/common/Logger.js'
import { SystemClock } from '../../src/common/SystemClock.js'
import { RejectedInput } from '../../src/metrics/RejectedInput.js'
import { MemoryLogger } from './MemoryLogger.js'

/** Creates a record of rejected input with metrics of its own, for tests. */
export function createRejectedInput (logger: Logger = new MemoryLogger()): RejectedInput {
  return new RejectedInput({ registry: new Registry(), clock: new SystemClock(), logger })
}
