import { readFileSync } from 'node:fs'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { CommandFailure } from './CommandFailure.js'

const next = 'Set SHUNT_CREDENTIAL, or use --credential-file to name the file with your credential.'

/** Reads the operator's credential from a file or the environment, because arguments are visible in process lists. */
export function readCredential (file: string | undefined, environment: NodeJS.ProcessEnv): Result<string, CommandFailure> {
  const text = file === undefined ? ok(environment.SHUNT_CREDENTIAL ?? '') : readFile(file)
  return text.andThen((value) => {
    const credential = value.trim()
    if (credential === '') return err({ exit: 'denied' as const, message: 'The credential is missing or empty.', next })
    if (!/^[\x21-\x7e]{1,512}$/.test(credential)) return err({ exit: 'denied' as const, message: 'The credential is longer than 512 characters or contains spaces or characters outside printable ASCII.', next })
    return ok(credential)
  })
}

function readFile (file: string): Result<string, CommandFailure> {
  try {
    return ok(readFileSync(file, 'utf8'))
  } catch (cause) {
    return err({ exit: 'denied', message: `The credential file ${file} cannot be read (${(cause as NodeJS.ErrnoException).code}).`, next })
  }
}
