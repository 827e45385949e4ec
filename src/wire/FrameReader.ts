import { Decoder } from 'cbor-x'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { createFailure } from '../common/createFailure.js'
import type { Failure } from '../common/Failure.js'
import { frameLimits } from './frameLimits.js'
import type { Message } from './Message.js'

/** Splits a byte stream into messages. The caller must close the stream after a failure. */
export class FrameReader {
  private readonly decoder = new Decoder({ useRecords: false, mapsAsObjects: true })
  private chunks: Buffer[] = []
  private bufferedBytes = 0
  private bodyBytes: number | undefined

  constructor (private maxBodyBytes: number = frameLimits.maxBodyBytes) {}

  /** Changes the limit on the frame body; used when the handshake is complete. */
  setMaxBodyBytes (maxBodyBytes: number): void {
    this.maxBodyBytes = maxBodyBytes
  }

  /** Appends bytes to the buffer without decoding them. */
  push (chunk: Buffer): void {
    this.chunks.push(chunk)
    this.bufferedBytes += chunk.length
  }

  /** Returns the next complete message, or undefined when more bytes are needed. */
  next (): Result<Message | undefined, Failure> {
    if (this.bodyBytes === undefined) {
      if (this.bufferedBytes < frameLimits.prefixBytes) return ok(undefined)
      this.bodyBytes = this.take(frameLimits.prefixBytes).readUInt32BE(0)
    }
    if (this.bodyBytes > this.maxBodyBytes) {
      return err(createFailure('frameTooLarge', { message: `the frame body has ${this.bodyBytes} bytes, more than the limit of ${this.maxBodyBytes}` }))
    }
    if (this.bufferedBytes < this.bodyBytes) return ok(undefined)
    const body = this.take(this.bodyBytes)
    this.bodyBytes = undefined
    return this.decode(body)
  }

  private take (length: number): Buffer {
    const all = this.chunks.length === 1 ? this.chunks[0]! : Buffer.concat(this.chunks)
    this.chunks = all.length > length ? [all.subarray(length)] : []
    this.bufferedBytes = all.length - length
    return all.subarray(0, length)
  }

  private decode (body: Buffer): Result<Message, Failure> {
    let value: unknown
    try {
      value = this.decoder.decode(body)
    } catch {
      return err(createFailure('frameInvalid'))
    }
    if (!isMessage(value)) return err(createFailure('frameInvalid'))
    if (value.v !== frameLimits.version) {
      return err(createFailure('frameVersion', { message: `the peer uses protocol version ${String(value.v)}, this process uses ${frameLimits.version}` }))
    }
    return ok(value)
  }
}

function isMessage (value: unknown): value is Message & { readonly v: unknown } {
  return typeof value === 'object' && value !== null && !Array.isArray(value) && 't' in value && typeof value.t === 'string'
}
