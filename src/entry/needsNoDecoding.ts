const emptyCodings = new Set(['', 'identity'])

/**
 * Returns true when a response's body needs no decoding but that of chunks. The header that names transfer codings isn't passed
 * on, so a caller would take bytes in another coding for the body.
 */
export function needsNoDecoding (rawHeaders: readonly string[]): boolean {
  const codings: string[] = []
  for (let index = 0; index < rawHeaders.length; index += 2) {
    if (rawHeaders[index]!.toLowerCase() === 'transfer-encoding') codings.push(...rawHeaders[index + 1]!.toLowerCase().split(','))
  }
  // The parser decodes chunks only if they are the last coding.
  return codings.every((coding, index) => emptyCodings.has(coding.trim()) || (coding.trim() === 'chunked' && index === codings.length - 1))
}
