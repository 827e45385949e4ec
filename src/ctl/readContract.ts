import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { Contract } from '../model/Contract.js'
import { responseSchemas } from './responseSchemas.js'
import type { CommandFailure } from './CommandFailure.js'
import type { CommandContext } from './CommandContext.js'

/** Reads a customer's contract; returns undefined when there is none. */
export async function readContract (ctx: CommandContext, customer: string): Promise<Result<Contract | undefined, CommandFailure>> {
  const response = await ctx.client.read(`contracts/${encodeURIComponent(customer)}`, responseSchemas.contract)
  if (response.isOk()) return ok(response.value.contract)
  return response.error.name === 'unknownItem' ? ok(undefined) : err(response.error)
}
