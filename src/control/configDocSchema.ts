import { z } from 'zod'
import { contractSchema } from './contractSchema.js'
import { deploymentSchema } from './deploymentSchema.js'
import { nameSchema } from './nameSchema.js'

const count = z.number().int().nonnegative()

/** A whole configuration document, as the platform and other agents deliver it. */
export const configDocSchema = deploymentSchema.extend({
  version: z.number().int().positive(),
  contracts: z.array(contractSchema),
  drains: z.array(z.object({
    kind: z.enum(['upstream', 'zone', 'host']),
    name: nameSchema,
    by: z.string(),
    atMs: z.number()
  }).strict()),
  priorCaps: z.array(z.object({
    customer: nameSchema,
    untilVersion: z.number().int().positive(),
    rate: count,
    burst: count,
    concurrency: count,
    uploadBytesPerSecond: count,
    hosts: z.array(nameSchema)
  }).strict())
}).strict()
