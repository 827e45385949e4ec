/** Hop-by-hop headers, and headers that are set again for each attempt. */
const droppedHeaders = new Set([
  'connection', 'keep-alive', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'expect', 'host', 'content-length'
])

/** Copies the headers to forward as alternating names and values, without those in `replaced` and those listed in `Connection`. */
export function copyRequestHeaders (rawHeaders: readonly string[], replaced: ReadonlySet<string>): string[] {
  const copy: string[] = []
  const connectionOptions = listConnectionOptions(rawHeaders)
  for (let index = 0; index < rawHeaders.length; index += 2) {
    const name = rawHeaders[index]!.toLowerCase()
    if (droppedHeaders.has(name) || replaced.has(name) || connectionOptions.has(name)) continue
    copy.push(rawHeaders[index]!, rawHeaders[index + 1]!)
  }
  return copy
}

function listConnectionOptions (rawHeaders: readonly string[]): Set<string> {
  const options = new Set<string>()
  for (let index = 0; index < rawHeaders.length; index += 2) {
    if (rawHeaders[index]!.toLowerCase() !== 'connection') continue
    for (const option of rawHeaders[index + 1]!.split(',')) options.add(option.trim().toLowerCase())
  }
  return options
}
