import type { ServerResponse } from 'node:http'
import { entryLimits } from './entryLimits.js'

/**
 * Ends an answer whose request body is not read completely. The body is discarded for a while first: closing the
 * connection with unread bytes resets it, and the caller could lose the answer.
 */
export function endAfterDiscardingBody (res: ServerResponse): void {
  const { req } = res
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
