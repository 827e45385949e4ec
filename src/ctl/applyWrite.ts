import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { responseSchemas } from './responseSchemas.js'
import type { CommandFailure } from './CommandFailure.js'
import { createWriteId } from './createWriteId.js'
import type { CommandContext } from './CommandContext.js'

/** A change request to the operators' interface, without its write id. */
interface Change {
  readonly method: 'PUT' | 'POST' | 'DELETE'
  readonly path: string
  readonly body: Readonly<Record<string, unknown>>
}

/** An accepted or previewed change. */
interface AppliedChange {
  /** Undefined for a dry run. */
  readonly writeId: string | undefined
  readonly version: number
  readonly change: string
}

/** Sends a change with a new write id; with `--dry-run`, requests a preview of the change. */
export async function applyWrite (ctx: CommandContext, { method, path, body }: Change): Promise<Result<AppliedChange, CommandFailure>> {
  if (ctx.dryRun) {
    const preview = await ctx.client.query({ method, path, body: { ...body, dryRun: true } }, responseSchemas.preview)
    return preview.map(({ version, change }) => ({ writeId: undefined, version, change }))
  }
  const writeId = createWriteId()
  const receipt = await ctx.client.write({ method, path, body: { ...body, writeId } }, writeId)
  return receipt.isErr() ? err(receipt.error) : ok({ writeId, version: receipt.value.version, change: receipt.value.change })
}
