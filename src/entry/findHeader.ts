/** Returns the value of the first header `name` (lower case) in a flat list of names and values. */
export function findHeader (rawHeaders: readonly string[], name: string): string | undefined {
  for (let index = 0; index < rawHeaders.length; index += 2) {
    const candidate = rawHeaders[index]!
    if (candidate.length === name.length && candidate.toLowerCase() === name) return rawHeaders[index + 1]
  }
  return undefined
}
