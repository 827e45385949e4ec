import type { ServerResponse } from 'node:http'
import { entryLimits } from './entryLimits.js'

/**
 * Ends a response whose request body has not been read completely. Discards body bytes for a limited time first: closing
 * a connection with unread bytes resets it, and the caller could lose the response.
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
