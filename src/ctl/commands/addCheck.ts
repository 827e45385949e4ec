import type { Result } from 'neverthrow'
import { Option } from 'commander'
import type { Command } from 'commander'
import { match } from 'ts-pattern'
import type { ConfigProblem } from '../../config/ConfigProblem.js'
import { parseContracts } from '../../config/parseContracts.js'
import { parseDeployment } from '../../config/parseDeployment.js'
import { parseSettings } from '../../config/parseSettings.js'
import type { CommandRunner } from '../CommandRunner.js'
import { guessFileKind } from '../guessFileKind.js'
import { readDocument } from '../readDocument.js'

/** `check FILE` */
export function addCheck (parent: Command, runner: CommandRunner): void {
  parent.command('check').argument('<file>')
    .description('check a settings, deployment or contract file offline and list all problems')
    .addOption(new Option('--kind <kind>', 'kind of the file (default: guessed from its keys)').choices(['settings', 'deployment', 'contracts']))
    .action(runner.fileAction(({ values: [file = ''], options: { kind } }) => readDocument(file, (text) => checkText(text, file, typeof kind === 'string' ? kind : guessFileKind(text))).map((found) => ({
      json: { file, kind: found, valid: true },
      text: `${file}: valid ${found}`
    }))))
}

function checkText (text: string, file: string, kind: string): Result<string, ConfigProblem[]> {
  return match(kind)
    .with('settings', () => parseSettings(text, file).map(() => kind))
    .with('deployment', () => parseDeployment(text, file).map(() => kind))
    .otherwise(() => parseContracts(text, file).map(() => kind))
}
