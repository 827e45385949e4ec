import type { Result } from 'neverthrow'
import { z } from 'zod'
import type { Contract } from '../model/Contract.js'
import { checkContracts } from './checkContracts.js'
import type { ConfigProblem } from './ConfigProblem.js'
import { contractSchema } from './contractSchema.js'
import { parseText } from './parseText.js'
import { validateValue } from './validateValue.js'

const listSchema = z.array(contractSchema)

/** Parses a file with one contract or an array of contracts; `file` is the name in reported problems. */
export function parseContracts (text: string, file: string): Result<Contract[], ConfigProblem[]> {
  return parseText(text, file, (value) => Array.isArray(value)
    ? validateValue(listSchema, checkContracts, value)
    : validateValue(contractSchema, checkContracts, value).map((contract) => [contract]))
}
