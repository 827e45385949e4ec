import type { IncomingMessage } from 'node:http'

/**
 * Returns true when part of a request's body has not been received. While a request is being handed over, Node.js counts it
 * as incomplete even if it has no body.
 */
export function hasUnreadBody (req: IncomingMessage): boolean {
  if (req.complete) return false
  return req.headers['transfer-encoding'] !== undefined || Number(req.headers['content-length'] ?? 0) > 0
}
