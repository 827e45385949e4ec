import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { responseSchemas } from './responseSchemas.js'
import type { CommandFailure } from './CommandFailure.js'
import { createWriteId } from './createWriteId.js'
import type { CommandContext } from './CommandContext.js'

/** A change for the operators' interface, without its write id. */
interface Change {
  readonly method: 'PUT' | 'POST' | 'DELETE'
  readonly path: string
  readonly body: Readonly<Record<string, unknown>>
}

/** What became of a change. */
interface AppliedChange {
  /** Undefined for a dry run. */
  readonly writeId: string | undefined
  readonly version: number
  readonly change: string
}

/** Sends a change under a new write id, or asks what it would do with `--dry-run`. */
export async function applyWrite (ctx: CommandContext, { method, path, body }: Change): Promise<Result<AppliedChange, CommandFailure>> {
  if (ctx.dryRun) {
    const preview = await ctx.client.query({ method, path, body: { ...body, dryRun: true } }, responseSchemas.preview)
    return preview.map(({ version, change }) => ({ writeId: undefined, version, change }))
  }
  const writeId = createWriteId()
  const receipt = await ctx.client.write({ method, path, body: { ...body, writeId } }, writeId)
  return receipt.isErr() ? err(receipt.error) : ok({ writeId, version: receipt.value.version, change: receipt.value.change })
}
