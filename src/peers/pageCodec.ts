import { deflateRawSync, inflateRawSync } from 'node:zlib'
import { Decoder, Encoder } from 'cbor-x'
import type { CatalogPage } from '../catalog/CatalogPage.js'
import { peerLimits } from './peerLimits.js'

/** Fastest level of compression; rows resemble each other, so it removes most of a page. */
const compressionLevel = 1

const encoder = new Encoder({ useRecords: false, mapsAsObjects: true })
const decoder = new Decoder({ useRecords: false, mapsAsObjects: true })

/** Compresses pages for links between hosts, which may carry little. */
export const pageCodec = {
  encode (page: CatalogPage): Buffer {
    return deflateRawSync(encoder.encode(page), { level: compressionLevel })
  },

  /**
   * Returns a page of any shape.
   * @throws when the bytes are no page, or one of more than `maxPageBytes`
   */
  decode (bytes: Uint8Array): unknown {
    return decoder.decode(inflateRawSync(bytes, { maxOutputLength: peerLimits.maxPageBytes }))
  }
} as const
