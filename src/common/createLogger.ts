import winston from 'winston'
import type { Clock } from './Clock.js'
import { formatFields } from './formatFields.js'
import { Logger } from './Logger.js'

/** Levels by module; `default` holds for modules that are not named. */
type LogLevels = Readonly<Record<string, 'error' | 'warn' | 'info' | 'debug'>>

/** Fields of an event. */
type LogFields = NonNullable<Parameters<Logger['info']>[1]>

/** What every line of a process carries. */
interface LoggerOptions {
  readonly clock: Clock
  readonly levels: LogLevels
  /** Name of the host. */
  readonly host: string
  /** Name of the binary. */
  readonly process: string
}

/** Creates a function that makes the logger of a module; lines go to stdout. */
export function createLogger (options: LoggerOptions): (module: string) => Logger {
  const sink = new winston.transports.Console({ stderrLevels: [] })
  return (module) => new WinstonLogger(createModuleLogger(options, module, sink))
}

function createModuleLogger (options: LoggerOptions, module: string, sink: winston.transport): winston.Logger {
  const line = winston.format.printf(({ level, message, fields }) => formatFields({
    time: new Date(options.clock.wallMs()).toISOString(),
    level,
    host: options.host,
    process: options.process,
    module,
    event: message,
    ...(fields as Record<string, unknown>)
  }))
  const level = options.levels[module] ?? options.levels.default ?? 'info'
  return winston.createLogger({ level, format: line, transports: [sink] })
}

/** winston formats a line before it drops it for its level, so the level is checked first. */
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
