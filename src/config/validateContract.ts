import type { Result } from 'neverthrow'
import type { Contract } from '../model/Contract.js'
import { checkContract } from './checkContract.js'
import type { ConfigProblem } from './ConfigProblem.js'
import { contractSchema } from './contractSchema.js'
import { toProblems } from './toProblems.js'
import { validateValue } from './validateValue.js'

/** Validates one contract that did not come from a file; `version` is 0 when it is absent. */
export function validateContract (value: unknown): Result<Contract, ConfigProblem[]> {
  return validateValue(contractSchema, checkContract, value).mapErr(toProblems)
}
