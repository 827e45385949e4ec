import { readFileSync } from 'node:fs'
import { err } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { ConfigProblem } from '../config/ConfigProblem.js'
import { formatProblem } from '../config/formatProblem.js'
import type { CommandFailure } from './CommandFailure.js'

/** Reads and parses a file; the failure's message lists all problems of the file. */
export function readDocument<T> (file: string, parse: (text: string, file: string) => Result<T, ConfigProblem[]>): Result<T, CommandFailure> {
  let text: string
  try {
    text = readFileSync(file, 'utf8')
  } catch (cause) {
    return err({ exit: 'invalid', message: `${file} cannot be read (${(cause as NodeJS.ErrnoException).code}).`, next: 'Check the path and the permissions of the file.' })
  }
  return parse(text, file).mapErr((problems) => ({
    exit: 'invalid',
    message: problems.map(formatProblem).join('\n'),
    next: `Correct ${problems.length === 1 ? 'the problem' : `the ${problems.length} problems`} in the file.`
  }))
}
