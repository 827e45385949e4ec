import { z } from 'zod'
import type { Contract } from '../model/Contract.js'
import { fieldSchemas } from './fieldSchemas.js'

const maxCredentials = 16

/** Schema of one contract; the version is set by the system and is 0 in files. */
export const contractSchema = z.strictObject({
  customer: fieldSchemas.name,
  version: z.int().min(0).default(0),
  credentialHashes: z.array(fieldSchemas.credentialHash).min(1, 'must name at least one credential').max(maxCredentials),
  services: z.array(fieldSchemas.name).min(1, 'must name at least one service'),
  rate: fieldSchemas.count,
  burst: fieldSchemas.count,
  concurrency: fieldSchemas.count,
  uploadBytesPerSecond: z.int().min(0),
  regionShare: fieldSchemas.fraction,
  moveStep: fieldSchemas.fraction,
  priority: fieldSchemas.positive
}) satisfies z.ZodType<Contract>
