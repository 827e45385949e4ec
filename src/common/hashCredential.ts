import { createHash } from 'node:crypto'

/** SHA-256 of a credential, in lower-case hex, as contracts and settings store it. */
export function hashCredential (credential: string): string {
  return createHash('sha256').update(credential).digest('hex')
}
