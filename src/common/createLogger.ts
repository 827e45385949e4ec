import winston from 'winston'
import type { Clock } from './Clock.js'
import { formatFields } from './formatFields.js'
import { Logger } from './Logger.js'

/** Log levels by module; `default` applies to all other modules. */
type LogLevels = Readonly<Record<string, 'error' | 'warn' | 'info' | 'debug'>>

/** Fields of an event. */
type LogFields = NonNullable<Parameters<Logger['info']>[1]>

/** Clock, log levels and the fields of every log line of a process. */
interface LoggerOptions {
  readonly clock: Clock
  readonly levels: LogLevels
  /** Name of the host. */
  readonly host: string
  /** Name of the binary. */
  readonly process: string
}

/** Returns a function that creates the logger of a module; lines are written to stdout. */
export function createLogger (options: LoggerOptions): (module: string) => Logger {
  const transport = new winston.transports.Console({ stderrLevels: [] })
  return (module) => new WinstonLogger(createModuleLogger(options, module, transport))
}

function createModuleLogger (options: LoggerOptions, module: string, transport: winston.transport): winston.Logger {
  const lineFormat = winston.format.printf(({ level, message, fields }) => formatFields({
    time: new Date(options.clock.wallMs()).toISOString(),
    level,
    host: options.host,
    process: options.process,
    module,
    event: message,
    ...(fields as Record<string, unknown>)
  }))
  const level = options.levels[module] ?? options.levels.default ?? 'info'
  return winston.createLogger({ level, format: lineFormat, transports: [transport] })
}

/** Checks the level before calling winston, which would format a line before discarding it. */
class WinstonLogger extends Logger {
  constructor (private readonly target: winston.Logger) {
    super()
  }

  override debug (event: string, fields: LogFields = {}): void {
    this.write('debug', event, fields)
  }

  override info (event: string, fields: LogFields = {}): void {
    this.write('info', event, fields)
  }

  override warn (event: string, fields: LogFields = {}): void {
    this.write('warn', event, fields)
  }

  override error (event: string, fields: LogFields = {}): void {
    this.write('error', event, fields)
  }

  private write (level: LogLevels[string], event: string, fields: LogFields): void {
    if (this.target.isLevelEnabled(level)) this.target.log(level, event, { fields })
  }
}
