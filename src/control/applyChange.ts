import { err } from 'neverthrow'
import type { Result } from 'neverthrow'
import { match } from 'ts-pattern'
import { createFailure } from '../common/createFailure.js'
import type { Failure } from '../common/Failure.js'
import type { ConfigDoc } from '../model/ConfigDoc.js'
import type { AppliedChange } from './AppliedChange.js'
import { applyContractChange } from './applyContractChange.js'
import { applyDeployment } from './applyDeployment.js'
import { applyDrainChange } from './applyDrainChange.js'
import type { ChangeContext } from './ChangeContext.js'
import type { ConfigChange } from './ConfigChange.js'

/**
 * Returns the next version of a document; `base` is undefined when there is no configuration yet.
 * Failures: `noConfiguration`, `contractConflict`, `invalidDocument`, `unknownItem`, `capBelowUnreachable`, `lastUpstreams`.
 */
export function applyChange (base: ConfigDoc | undefined, change: ConfigChange, context: ChangeContext): Result<AppliedChange, Failure> {
  if (change.kind === 'deployment') return applyDeployment(base, change, context)
  if (base === undefined) return err(createFailure('noConfiguration', { message: 'No configuration has been loaded yet; apply a deployment first.' }))
  return match(change)
    .with({ kind: 'putContract' }, { kind: 'deleteContract' }, (contractChange) => applyContractChange(base, contractChange, context))
    .with({ kind: 'addDrain' }, { kind: 'removeDrain' }, (drainChange) => applyDrainChange(base, drainChange, context))
    .exhaustive()
}
