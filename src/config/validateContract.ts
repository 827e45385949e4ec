import type { Result } from 'neverthrow'
import type { Contract } from '../model/Contract.js'
import { checkContract } from './checkContract.js'
import type { ConfigProblem } from './ConfigProblem.js'
import { contractSchema } from './contractSchema.js'
import { toProblems } from './toProblems.js'
import { validateValue } from './validateValue.js'

/** Validates a contract that was not read from a file; a missing `version` becomes 0. */
export function validateContract (value: unknown): Result<Contract, ConfigProblem[]> {
  return validateValue(contractSchema, checkContract, value).mapErr(toProblems)
}
