import type { IncomingMessage } from 'node:http'
import { findHeader } from './findHeader.js'

/** Returns true when Node.js reads a request completely although nobody takes its body; what follows a longer body is not read. */
export function isHoldable (req: IncomingMessage): boolean {
  return req.headers['transfer-encoding'] === undefined && Number(findHeader(req.rawHeaders, 'content-length') ?? 0) < req.readableHighWaterMark
}
