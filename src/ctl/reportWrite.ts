import { ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { applyWrite } from './applyWrite.js'
import type { CommandFailure } from './CommandFailure.js'
import type { CommandContext } from './CommandContext.js'
import type { Report } from './Report.js'
import { waitInForce } from './waitInForce.js'

type AppliedChange = Awaited<ReturnType<typeof applyWrite>> extends Result<infer Value, unknown> ? Value : never

/** Reports an accepted or previewed change; with `--wait`, waits until an accepted one is in force. */
export async function reportWrite (ctx: CommandContext, applied: AppliedChange): Promise<Result<Report, CommandFailure>> {
  const { writeId, version, change } = applied
  if (writeId === undefined) return ok({ json: { dryRun: true, version, change }, text: `Dry run: ${change} (would be configuration version ${version}).` })
  const report = { json: { writeId, version, change, inForce: ctx.wait }, text: `${change}. Accepted as configuration version ${version}${ctx.wait ? ' and in force' : ''}.` }
  if (!ctx.wait) return ok(report)
  return (await waitInForce(ctx, version)).map(() => report)
}
