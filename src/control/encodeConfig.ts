import { deflateRawSync } from 'node:zlib'
import type { HeldConfig } from './HeldConfig.js'

/** Encodes and compresses a configuration for a frame. Compression to about a tenth keeps large documents under the frame size limit. */
export function encodeConfig (held: HeldConfig): Buffer {
  return deflateRawSync(JSON.stringify(held))
}
