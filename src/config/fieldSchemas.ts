import { isIPv4 } from 'node:net'
import { z } from 'zod'
import { isAddress } from '../common/isAddress.js'

const maxNameLength = 63
const sha256Hex = /^[0-9a-f]{64}$/i

/** Schemas of values that occur in several documents. */
export const fieldSchemas = {
  /** Host names must not contain a dot, since idempotency keys separate their parts by dots. */
  name: z.string().max(maxNameLength).regex(/^[A-Za-z0-9][A-Za-z0-9_-]*$/, 'must be a name of letters, digits, "-" and "_"'),
  ip: z.string().refine(isIPv4, 'must be an IPv4 address such as 10.0.0.1'),
  address: z.string().refine(isAddress, 'must be an IPv4 address and a port such as 10.0.0.1:8080'),
  port: z.int().min(1).max(65_535),
  credentialHash: z.string().regex(sha256Hex, 'must be a SHA-256 in hex (64 digits)').toLowerCase(),
  count: z.int().min(1).max(1_000_000_000),
  positive: z.number().positive().max(1_000_000_000),
  fraction: z.number().gt(0, 'must be more than 0 and at most 1').max(1, 'must be more than 0 and at most 1'),
  share: z.number().min(0, 'must be from 0 to 1').max(1, 'must be from 0 to 1'),
  timeMs: z.int().min(1).max(86_400_000)
}
