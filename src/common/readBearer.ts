import type { IncomingMessage } from 'node:http'

const bearerPattern = /^Bearer +([\x21-\x7e]{1,512})$/i

/** Returns the credential of an `Authorization: Bearer` header, or undefined when there is none. */
export function readBearer (req: IncomingMessage): string | undefined {
  return bearerPattern.exec(req.headers.authorization ?? '')?.[1]
}
