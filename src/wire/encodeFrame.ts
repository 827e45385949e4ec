import { Encoder } from 'cbor-x'
import { frameLimits } from './frameLimits.js'
import type { Message } from './Message.js'

const encoder = new Encoder({ useRecords: false, mapsAsObjects: true })

/**
 * Encodes a message as a length prefix and a CBOR map.
 * @throws {RangeError} when the body exceeds the size limit
 */
export function encodeFrame (message: Message): Buffer {
  const body = encoder.encode({ v: frameLimits.version, ...message })
  if (body.length > frameLimits.maxBodyBytes) {
    throw new RangeError(`frame "${message.t}" has ${body.length} bytes, more than the limit of ${frameLimits.maxBodyBytes}`)
  }
  const frame = Buffer.allocUnsafe(frameLimits.prefixBytes + body.length)
  frame.writeUInt32BE(body.length, 0)
  frame.set(body, frameLimits.prefixBytes)
  return frame
}
