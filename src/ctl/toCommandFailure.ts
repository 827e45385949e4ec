import { match } from 'ts-pattern'
import { z } from 'zod'
import type { exitCodes } from '../common/exitCodes.js'
import { Outcome } from '../common/Outcome.js'
import { adviseNext } from './adviseNext.js'
import type { CommandFailure } from './CommandFailure.js'

const refusalSchema = z.object({ code: z.number(), name: z.string(), outcome: z.string(), message: z.string() })

/** Converts a refusal of the operators' interface to a command failure; accepts any body. */
export function toCommandFailure (status: number, body: unknown): CommandFailure {
  const parsed = refusalSchema.safeParse(body)
  if (!parsed.success) {
    return { exit: 'internal', message: `The host responded with status ${status} and without a result code.`, next: 'Check that --hosts names the operators\' port (8085 by default).' }
  }
  const { code, name, outcome, message } = parsed.data
  return { exit: chooseExit(name, outcome), message, next: adviseNext(name), code, name }
}

function chooseExit (name: string, outcome: string): keyof typeof exitCodes {
  return match({ name, outcome })
    .with({ outcome: Outcome.unknown }, { name: 'writeUnknown' }, () => 'unknown' as const)
    .with({ name: 'operatorDenied' }, { name: 'credentialThrottled' }, () => 'denied' as const)
    .with({ name: 'contractConflict' }, () => 'conflict' as const)
    .with({ name: 'invalidDocument' }, () => 'invalid' as const)
    .otherwise(() => 'refused' as const)
}
