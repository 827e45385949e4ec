import { randomUUID } from 'node:crypto'
import type { IncomingMessage } from 'node:http'

const plainId = /^[\w.:-]{1,64}$/

/** Returns the caller's `Shunt-Request-Id` when it is valid, else a new random id. */
export function readRequestId (req: IncomingMessage): string {
  const id = req.headers['shunt-request-id']
  return typeof id === 'string' && plainId.test(id) ? id : randomUUID()
}
