import { z } from 'zod'
import { contractSchema } from '../config/contractSchema.js'
import { deploymentSchema } from '../config/deploymentSchema.js'
import { fieldSchemas } from '../config/fieldSchemas.js'
import { DrainKind } from '../model/DrainKind.js'

const count = z.number().int().nonnegative()

/** Schema of a complete configuration document as stored on the platform. */
export const configDocSchema = deploymentSchema.extend({
  version: z.number().int().positive(),
  contracts: z.array(contractSchema),
  drains: z.array(z.object({
    kind: z.enum(DrainKind),
    name: fieldSchemas.name,
    by: z.string(),
    atMs: z.number()
  }).strict()),
  priorCaps: z.array(z.object({
    customer: fieldSchemas.name,
    untilVersion: z.number().int().positive(),
    rate: count,
    burst: count,
    concurrency: count,
    uploadBytesPerSecond: count,
    hosts: z.array(fieldSchemas.name)
  }).strict())
}).strict()
