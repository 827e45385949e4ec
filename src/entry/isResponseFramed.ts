const lastCodingIsChunked = /(?:^|,)[\t ]*chunked$/i

/**
 * Returns true when a response's head tells where its body ends: by a length, or by `chunked` as the last transfer coding.
 * With any other transfer coding the body ends with the connection (RFC 9112, section 6.3).
 */
export function isResponseFramed (rawHeaders: readonly string[]): boolean {
  let codings = ''
  for (let index = 0; index < rawHeaders.length; index += 2) {
    const name = rawHeaders[index]!.toLowerCase()
    if (name === 'content-length') return true
    if (name === 'transfer-encoding') codings = rawHeaders[index + 1]!
  }
  return lastCodingIsChunked.test(codings)
}
