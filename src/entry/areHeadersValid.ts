const namePattern = /^[!#$%&'*+\-.^_`|~\dA-Za-z]+$/
const valuePattern = /^[\t\x20-\x7e\x80-\xff]*$/

/** Returns true when all names and values of alternating headers may be sent by RFC 9110. */
export function areHeadersValid (rawHeaders: readonly string[]): boolean {
  for (let index = 0; index < rawHeaders.length; index += 2) {
    if (!namePattern.test(rawHeaders[index]!) || !valuePattern.test(rawHeaders[index + 1]!)) return false
  }
  return true
}
