#!/usr/bin/env node
import { exitCodes } from '../common/exitCodes.js'
import { createProgram } from '../ctl/createProgram.js'
import { PrintingRunner } from '../ctl/PrintingRunner.js'

try {
  await createProgram(new PrintingRunner(process.env)).parseAsync()
} catch (err) {
  process.stderr.write(`Unexpected error: ${(err as Error).stack ?? String(err)}\nNext: Report this error together with the command line.\n`)
  process.exitCode = exitCodes.internal.code
}
