import { readFileSync } from 'node:fs'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { CommandFailure } from './CommandFailure.js'

const next = 'Set SHUNT_CREDENTIAL, or name the file with your credential by --credential-file.'

/** Reads the operator's credential from a file or the environment; arguments would show in process lists. */
export function readCredential (file: string | undefined, environment: NodeJS.ProcessEnv): Result<string, CommandFailure> {
  const text = file === undefined ? ok(environment.SHUNT_CREDENTIAL ?? '') : readFile(file)
  return text.andThen((value) => {
    const credential = value.trim()
    if (credential === '') return err({ exit: 'denied' as const, message: 'There is no credential.', next })
    if (!/^[\x21-\x7e]{1,512}$/.test(credential)) return err({ exit: 'denied' as const, message: 'The credential has characters that can\'t be sent.', next })
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
