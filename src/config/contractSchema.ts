import { z } from 'zod'
import type { Contract } from '../model/Contract.js'
import { fields } from './fields.js'

const maxCredentials = 16

/** Schema of one contract; the version is set by the system and is 0 in files. */
export const contractSchema = z.strictObject({
  customer: fields.name,
  version: z.int().min(0).default(0),
  credentialHashes: z.array(fields.credentialHash).min(1, 'must name at least one credential').max(maxCredentials),
  services: z.array(fields.name).min(1, 'must name at least one service'),
  rate: fields.count,
  burst: fields.count,
  concurrency: fields.count,
  uploadBytesPerSecond: z.int().min(0),
  regionShare: fields.fraction,
  moveStep: fields.fraction,
  priority: fields.positive
}) satisfies z.ZodType<Contract>
