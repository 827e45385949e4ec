import { createHash } from 'node:crypto'
import { SeededRandom } from '../common/SeededRandom.js'

/** First line of a response body, as JSON. */
interface ResponseHead {
  readonly requestId: string
  readonly customer: string
  readonly path: string
  /** Number of bytes of the request body that were received. */
  readonly received: number
  /** SHA-256 of the request body in hex, empty without a body. */
  readonly receivedHash: string
  /** Number of bytes after the first line. */
  readonly fillBytes: number
  /** SHA-1 of the bytes after the first line, in hex. */
  readonly fillHash: string
}

/** Request data that a response contains. */
type ResponseSource = Omit<ResponseHead, 'fillBytes' | 'fillHash'> & { readonly fillBytes: number }

const patternBytes = 65_536
const patternSeed = 20_231
const pattern = createPattern()

/** Creates and checks response bodies that identify their request and can be verified to be complete. */
export const responseBody = {
  create (source: ResponseSource): Buffer {
    const fill = createFill(source.requestId, source.fillBytes)
    const head: ResponseHead = { ...source, fillHash: createHash('sha1').update(fill).digest('hex') }
    return Buffer.concat([Buffer.from(`${JSON.stringify(head)}\n`), fill])
  },

  /** Returns the first line of a valid body, or undefined when the body is incomplete or was changed. */
  read (body: Buffer): ResponseHead | undefined {
    const end = body.indexOf(10)
    if (end < 0) return undefined
    const head = parseHead(body.toString('utf8', 0, end))
    if (head === undefined || body.length - end - 1 !== head.fillBytes) return undefined
    const hash = createHash('sha1').update(body.subarray(end + 1)).digest('hex')
    return hash === head.fillHash ? head : undefined
  }
} as const

function parseHead (line: string): ResponseHead | undefined {
  try {
    return JSON.parse(line) as ResponseHead
  } catch {
    return undefined
  }
}

function createPattern (): Buffer {
  const random = new SeededRandom(patternSeed)
  const bytes = Buffer.alloc(patternBytes)
  for (let at = 0; at < patternBytes; at += 1) bytes[at] = 33 + random.integer(90)
  return bytes
}

/** Creates bytes that differ between request ids; they are copied from one pattern, so that large responses are cheap. */
function createFill (requestId: string, length: number): Buffer {
  const fill = Buffer.alloc(length)
  let from = createHash('sha1').update(requestId).digest().readUInt16BE(0)
  for (let at = 0; at < length;) {
    at += pattern.copy(fill, at, from, Math.min(patternBytes, from + length - at))
    from = 0
  }
  return fill
}
