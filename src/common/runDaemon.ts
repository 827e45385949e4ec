import { Command } from 'commander'
import { formatProblem } from '../config/formatProblem.js'
import { loadSettings } from '../config/loadSettings.js'
import type { Settings } from '../config/Settings.js'
import { createLogger } from './createLogger.js'
import type { Daemon } from './Daemon.js'
import type { DaemonContext } from './DaemonContext.js'
import { exitCodes } from './exitCodes.js'
import { readVersion } from './readVersion.js'
import { SystemClock } from './SystemClock.js'

/** Command line and start function of a daemon. */
interface DaemonOptions {
  /** Name of the binary. */
  readonly name: string
  readonly description: string
  readonly start: (context: DaemonContext) => Promise<Daemon>
}

/** Runs a daemon with the options `--settings FILE`, `--help` and `--version`, and stops it gracefully on SIGTERM and SIGINT. */
export async function runDaemon (options: DaemonOptions): Promise<void> {
  const command = new Command(options.name)
    .description(options.description)
    .version(readVersion())
    .requiredOption('--settings <file>', 'settings of this host (JSON with comments)')
    .exitOverride(({ exitCode }) => process.exit(exitCode === 0 ? exitCodes.ok.code : exitCodes.usage.code))
  command.parse()
  const settings = loadSettings(command.opts<{ settings: string }>().settings)
  if (settings.isOk()) return await startDaemon(options, settings.value)
  for (const problem of settings.error) process.stderr.write(`${formatProblem(problem)}\n`)
  process.exitCode = exitCodes.invalid.code
}

async function startDaemon (options: DaemonOptions, settings: Settings): Promise<void> {
  // A closed log pipe must not end a process that serves traffic.
  for (const stream of [process.stdout, process.stderr]) stream.on('error', () => {})
  const clock = new SystemClock()
  const createModuleLogger = createLogger({ clock, levels: settings.log, host: settings.host, process: options.name })
  const logger = createModuleLogger('daemon')
  let daemon: Daemon
  try {
    daemon = await options.start({ settings, clock, createModuleLogger })
  } catch (err) {
    logger.error('start-failed', { message: (err as Error).message })
    process.exit(exitCodes.startFailed.code)
  }
  logger.info('started', { version: readVersion(), pid: process.pid })
  let stopping = false
  const stop = (signal: string): void => {
    if (stopping) return
    stopping = true
    logger.info('stopping', { signal })
    daemon.stop().then(
      () => {
        logger.info('stopped')
        process.exit(exitCodes.ok.code)
      },
      (err: unknown) => {
        logger.error('stop-failed', { message: (err as Error).message })
        process.exit(exitCodes.internal.code)
      }
    )
  }
  process.on('SIGTERM', stop)
  process.on('SIGINT', stop)
}
