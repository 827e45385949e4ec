import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { Command } from 'commander'
import { parseContracts } from '../../config/parseContracts.js'
import type { Contract } from '../../model/Contract.js'
import { applyWrite } from '../applyWrite.js'
import type { CommandFailure } from '../CommandFailure.js'
import type { CommandRunner } from '../CommandRunner.js'
import type { CommandContext } from '../CommandContext.js'
import { diffContracts } from '../diffContracts.js'
import { readContract } from '../readContract.js'
import { readDocument } from '../readDocument.js'
import type { Report } from '../Report.js'
import { waitInForce } from '../waitInForce.js'

/** Result for one contract of the file. */
interface AppliedRow {
  readonly customer: string
  readonly result: 'accepted' | 'unchanged' | 'would change'
  readonly writeId?: string | undefined
  readonly version?: number
  readonly changes: readonly string[]
}

/** `contract apply FILE` */
export function addContractApply (parent: Command, runner: CommandRunner): void {
  parent.command('apply').argument('<file>')
    .description('create or update the contracts of a file; a contract with a version is refused when that version is outdated')
    .action(runner.hostAction(async (ctx, { values: [file = ''] }) => {
      const contracts = readDocument(file, parseContracts)
      return contracts.isErr() ? err(contracts.error) : await applyAll(ctx, contracts.value)
    }))
}

/** Applies the contracts one after another and stops at the first refusal; its message contains how many were applied. */
async function applyAll (ctx: CommandContext, contracts: readonly Contract[]): Promise<Result<Report, CommandFailure>> {
  const rows: AppliedRow[] = []
  for (const contract of contracts) {
    const row = await applyOne(ctx, contract)
    if (row.isErr()) return err(createPartialFailure(row.error, contract, rows, contracts.length))
    rows.push(row.value)
    if (contracts.length > 1) ctx.printNotice(`${rows.length} of ${contracts.length}: ${contract.customer} ${row.value.result}`)
  }
  const version = Math.max(0, ...rows.map((row) => row.version ?? 0))
  const report = { json: rows, text: rows.map(formatRow).join('\n') }
  if (!ctx.wait || ctx.dryRun || version === 0) return ok(report)
  return (await waitInForce(ctx, version)).map(() => report)
}

async function applyOne (ctx: CommandContext, contract: Contract): Promise<Result<AppliedRow, CommandFailure>> {
  const { customer } = contract
  const current = await readContract(ctx, customer)
  if (current.isErr()) return err(current.error)
  const changes = current.value === undefined ? ['new'] : diffContracts(current.value, contract)
  const expectVersion = contract.version > 0 ? contract.version : current.value?.version ?? 0
  if (changes.length === 0 && expectVersion === current.value?.version) return ok({ customer, result: 'unchanged', changes })
  const applied = await applyWrite(ctx, { method: 'PUT', path: `contracts/${encodeURIComponent(customer)}`, body: { contract, expectVersion } })
  return applied.map(({ writeId, version }) => ({ customer, result: ctx.dryRun ? 'would change' : 'accepted', writeId, version, changes }))
}

function formatRow ({ customer, result, version, changes }: AppliedRow): string {
  const suffix = result === 'accepted' ? ` as configuration version ${version}` : ''
  return [`${customer}: ${result}${suffix}`, ...changes.map((change) => `  ${change}`)].join('\n')
}

function createPartialFailure (failure: CommandFailure, { customer }: Contract, rows: readonly AppliedRow[], total: number): CommandFailure {
  const progress = rows.length === 0 ? '' : ` ${rows.length} of ${total} contracts were applied before; apply the file again to continue.`
  return { ...failure, message: `${customer}: ${failure.message}${progress}` }
}
