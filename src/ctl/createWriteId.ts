import { randomUUID } from 'node:crypto'

/** Creates the idempotency key of a change, used by all attempts to send it. */
export function createWriteId (): string {
  return `ctl-${randomUUID()}`
}
