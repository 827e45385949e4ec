import { randomUUID } from 'node:crypto'

/** Creates the id under which one change is sent, however often it has to be sent. */
export function createWriteId (): string {
  return `ctl-${randomUUID()}`
}
