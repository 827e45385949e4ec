const droppedHeaders = new Set([
  'connection', 'keep-alive', 'proxy-connection', 'proxy-authenticate', 'te', 'trailer', 'transfer-encoding', 'upgrade',
  'upstream-load', 'upstream-not-run'
])

/**
 * Copies the headers of a response that are forwarded, names and values in turn. Hop-by-hop headers and those of this
 * system are left out; `Content-Length` is kept.
 */
export function copyResponseHeaders (rawHeaders: readonly string[]): string[] {
  const copy: string[] = []
  for (let index = 0; index < rawHeaders.length; index += 2) {
    const name = rawHeaders[index]!.toLowerCase()
    if (droppedHeaders.has(name) || name.startsWith('shunt-')) continue
    copy.push(rawHeaders[index]!, rawHeaders[index + 1]!)
  }
  return copy
}
