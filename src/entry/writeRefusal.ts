import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Failure } from '../common/Failure.js'
import { formatRefusal } from './formatRefusal.js'
import { entryLimits } from './entryLimits.js'

/** How a refusal is sent. */
interface RefusalOptions {
  readonly requestId: string
  /** Tells the caller to use another connection. */
  readonly close: boolean
  /** Further headers, names and values in turn. */
  readonly headers: readonly string[]
}

/** Sends a refusal. An unread body is discarded for a while first, since closing at once would lose the refusal. */
export function writeRefusal (req: IncomingMessage, res: ServerResponse, failure: Failure, options: RefusalOptions): void {
  if (res.headersSent || res.destroyed) {
    res.destroy()
    return
  }
  const { status, headers, body } = formatRefusal(failure, options.requestId)
  const hasUnreadBody = !req.complete
  const all = [...headers, ...options.headers]
  if (options.close || hasUnreadBody) all.push('Connection', 'close')
  res.writeHead(status, all)
  if (!hasUnreadBody) {
    res.end(req.method === 'HEAD' ? undefined : body)
    return
  }
  res.write(body)
  discardBody(req, res)
}

function discardBody (req: IncomingMessage, res: ServerResponse): void {
  let bytes = 0
  const end = (): void => {
    clearTimeout(timer)
    if (!res.writableEnded) res.end()
  }
  const timer = setTimeout(end, entryLimits.lingerMs)
  req.on('end', end)
  req.on('close', end)
  req.on('data', (chunk: Buffer) => {
    bytes += chunk.length
    if (bytes > entryLimits.maxLingerBytes) end()
  })
  req.resume()
}
