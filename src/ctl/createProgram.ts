import { Command } from 'commander'
import { exitCodes } from '../common/exitCodes.js'
import { readVersion } from '../common/readVersion.js'
import type { CommandRunner } from './CommandRunner.js'
import { addCheck } from './commands/addCheck.js'
import { addConfigStatus } from './commands/addConfigStatus.js'
import { addContractApply } from './commands/addContractApply.js'
import { addContractDiff } from './commands/addContractDiff.js'
import { addContractList } from './commands/addContractList.js'
import { addContractRemove } from './commands/addContractRemove.js'
import { addContractShow } from './commands/addContractShow.js'
import { addDeploymentApply } from './commands/addDeploymentApply.js'
import { addDeploymentShow } from './commands/addDeploymentShow.js'
import { addDrainAdd } from './commands/addDrainAdd.js'
import { addDrainCancel } from './commands/addDrainCancel.js'
import { addDrainList } from './commands/addDrainList.js'
import { addExplain } from './commands/addExplain.js'
import { addHostList } from './commands/addHostList.js'
import { addLimits } from './commands/addLimits.js'
import { addMetrics } from './commands/addMetrics.js'
import { addWrite } from './commands/addWrite.js'
import { addZoneList } from './commands/addZoneList.js'

/** Creates the command line of `shuntctl`. */
export function createProgram (runner: CommandRunner): Command {
  const program = new Command('shuntctl')
    .description('Operates sapphireshunt through the operators\' interface of any host.')
    .version(readVersion())
    .option('--hosts <list>', 'hosts to try one after another, a.b.c.d:port,... (default: SHUNT_HOSTS)')
    .option('--credential-file <file>', 'file with your credential (default: SHUNT_CREDENTIAL)')
    .option('--tls', 'use TLS with the system\'s certificate authorities')
    .option('--ca-file <file>', 'use TLS with this certificate authority (PEM)')
    .option('--timeout <seconds>', 'time limit for a response (default: 15), or for --wait')
    .option('--json', 'print JSON')
    .option('--wait', 'wait until the change is in force, with progress on stderr')
    .option('--dry-run', 'show what a change would do without making it')
    .addHelpText('after', formatExitCodes())
  // Subcommands inherit this setting when they are created, so it must be made first.
  program.exitOverride(({ exitCode }) => process.exit(exitCode === 0 ? exitCodes.ok.code : exitCodes.usage.code))
  const addGroup = (name: string, description: string, addCommands: ReadonlyArray<(parent: Command, runner: CommandRunner) => void>): void => {
    const parent = program.command(name).description(description)
    for (const add of addCommands) add(parent, runner)
  }
  addGroup('contract', 'customers\' contracts', [addContractList, addContractShow, addContractApply, addContractDiff, addContractRemove])
  addGroup('deployment', 'hosts, services, endpoints and links', [addDeploymentShow, addDeploymentApply])
  addGroup('drain', 'planned drains of upstreams, zones and hosts', [addDrainAdd, addDrainList, addDrainCancel])
  addGroup('host', 'entry hosts', [addHostList])
  addGroup('zone', 'zones', [addZoneList])
  addGroup('config', 'the configuration', [addConfigStatus])
  for (const add of [addLimits, addExplain, addMetrics, addCheck, addWrite]) add(program, runner)
  return program
}

function formatExitCodes (): string {
  const rows = Object.entries(exitCodes).map(([name, { code, text }]) => `  ${String(code).padEnd(4)}${name.padEnd(13)}${text}`)
  return `\nExit codes:\n${rows.join('\n')}`
}
