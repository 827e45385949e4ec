import { err, ok } from 'neverthrow'
import type { Command } from 'commander'
import { parseContracts } from '../../config/parseContracts.js'
import type { CommandRunner } from '../CommandRunner.js'
import { diffContracts } from '../diffContracts.js'
import { readContract } from '../readContract.js'
import { readDocument } from '../readDocument.js'

/** `contract diff FILE` */
export function addContractDiff (parent: Command, runner: CommandRunner): void {
  parent.command('diff').argument('<file>')
    .description('compare the contracts of a file with those in force; exits with "differs" when they differ')
    .action(runner.hostAction(async (ctx, { values: [file = ''] }) => {
      const contracts = readDocument(file, parseContracts)
      if (contracts.isErr()) return err(contracts.error)
      const rows = []
      for (const contract of contracts.value) {
        const current = await readContract(ctx, contract.customer)
        if (current.isErr()) return err(current.error)
        rows.push({ customer: contract.customer, changes: current.value === undefined ? ['not in force'] : diffContracts(current.value, contract) })
      }
      const different = rows.filter(({ changes }) => changes.length > 0)
      const text = different.flatMap(({ customer, changes }) => [customer, ...changes.map((change) => `  ${change}`)]).join('\n')
      return ok({ json: rows, text: different.length === 0 ? 'No differences.' : text, exit: different.length === 0 ? 'ok' : 'differs' })
    }))
}
