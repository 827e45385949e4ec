import { z } from 'zod'
import { nameSchema } from './nameSchema.js'

const count = z.number().int().nonnegative().max(1_000_000_000)
const bytesPerSecond = z.number().int().nonnegative().max(1_000_000_000_000)
const fraction = z.number().min(0).max(1)

/** A contract as an operator sends it; the writer gives it its version. */
export const contractSchema = z.object({
  customer: nameSchema,
  version: z.number().int().nonnegative().default(0),
  credentialHashes: z.array(z.string().regex(/^[0-9a-f]{64}$/, 'must be a SHA-256 in hex')).max(16),
  services: z.array(nameSchema).max(1_000),
  rate: count,
  burst: count,
  concurrency: count,
  uploadBytesPerSecond: bytesPerSecond,
  regionShare: fraction,
  moveStep: z.number().positive().max(1),
  priority: z.number().positive().max(1_000)
}).strict()
