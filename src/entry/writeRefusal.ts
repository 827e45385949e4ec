import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Failure } from '../common/Failure.js'
import { formatRefusal } from './formatRefusal.js'
import { hasUnreadBody } from './hasUnreadBody.js'
import { endAfterDiscardingBody } from './endAfterDiscardingBody.js'

/** Options for sending a refusal. */
interface RefusalOptions {
  readonly requestId: string
  /** Closes the connection after the refusal. */
  readonly close: boolean
  /** Additional headers, names and values in turn. */
  readonly headers: readonly string[]
  /** Formats the value of `Retry-After`; whole seconds if absent. */
  readonly formatRetryAfter?: ((ms: number) => string) | undefined
}

/** Sends a refusal, or destroys the connection if the response has already begun. */
export function writeRefusal (req: IncomingMessage, res: ServerResponse, failure: Failure, options: RefusalOptions): void {
  if (res.headersSent || res.destroyed) {
    res.destroy()
    return
  }
  const { status, headers, body } = formatRefusal(failure, options.requestId, options.formatRetryAfter)
  const isBodyUnread = hasUnreadBody(req)
  const all = [...headers, ...options.headers]
  if (options.close || isBodyUnread) res.shouldKeepAlive = false
  res.writeHead(status, all)
  if (!isBodyUnread) {
    res.end(req.method === 'HEAD' ? undefined : body)
    return
  }
  res.write(body)
  endAfterDiscardingBody(res)
}
