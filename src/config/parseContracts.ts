import type { Result } from 'neverthrow'
import { z } from 'zod'
import type { Contract } from '../model/Contract.js'
import { checkContracts } from './checkContracts.js'
import type { ConfigProblem } from './ConfigProblem.js'
import { contractSchema } from './contractSchema.js'
import { parseText } from './parseText.js'
import { validateValue } from './validateValue.js'

const listSchema = z.array(contractSchema)

/** Parses a contract file, which holds one contract or an array of them; `file` names it in problems. */
export function parseContracts (text: string, file: string): Result<Contract[], ConfigProblem[]> {
  return parseText(text, file, (value) => Array.isArray(value)
    ? validateValue(listSchema, checkContracts, value)
    : validateValue(contractSchema, checkContracts, value).map((contract) => [contract]))
}
