import { formatFields } from '../../src/common/formatFields.js'
import { Logger } from '../../src/common/Logger.js'

/** Logger that keeps its lines in memory, for tests. */
export class MemoryLogger extends Logger {
  readonly lines: string[] = []

  override debug (event: string, fields: Readonly<Record<string, unknown>> = {}): void {
    this.lines.push(`debug ${event} ${formatFields(fields)}`)
  }

  override info (event: string, fields: Readonly<Record<string, unknown>> = {}): void {
    this.lines.push(`info ${event} ${formatFields(fields)}`)
  }

  override warn (event: string, fields: Readonly<Record<string, unknown>> = {}): void {
    this.lines.push(`warn ${event} ${formatFields(fields)}`)
  }

  override error (event: string, fields: Readonly<Record<string, unknown>> = {}): void {
    this.lines.push(`error ${event} ${formatFields(fields)}`)
  }
}
