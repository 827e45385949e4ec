import { z } from 'zod'
import { fieldSchemas } from './fieldSchemas.js'
import { portsSchema } from './portsSchema.js'
import type { Settings } from './Settings.js'

/** The longest request duration of 900 s, which includes a ten-minute upload, and 30 s to hand over and close. */
const defaultStopTimeoutMs = 930_000

const minClusterKeyLength = 32

const logLevel = z.enum(['error', 'warn', 'info', 'debug'])

const limitsSchema = z.strictObject({
  maxConnections: fieldSchemas.count.default(10_000),
  maxHeaderBytes: z.int().min(1_024).max(1_048_576).default(16_384),
  headersTimeoutMs: fieldSchemas.timeMs.default(10_000),
  idleTimeoutMs: fieldSchemas.timeMs.default(60_000)
}).prefault({})

/** Schema of a host's settings. */
export const settingsSchema = z.strictObject({
  host: fieldSchemas.name,
  zone: fieldSchemas.name,
  address: fieldSchemas.ip,
  ports: portsSchema,
  clusterKey: z.string().min(minClusterKeyLength, `must have at least ${minClusterKeyLength} characters`),
  operators: z.array(z.strictObject({ name: fieldSchemas.name, credentialHash: fieldSchemas.credentialHash })).default([]),
  platform: z.strictObject({
    url: z.url({ protocol: /^https?$/, error: 'must be an http or https URL' }),
    timeoutMs: fieldSchemas.timeMs.default(1_000)
  }),
  seeds: z.array(fieldSchemas.address).default([]),
  dial: z.record(fieldSchemas.address, fieldSchemas.address).default({}),
  log: z.record(z.string(), logLevel).default({}),
  blocksFile: z.string().min(1).optional(),
  tls: z.strictObject({ certFile: z.string().min(1), keyFile: z.string().min(1) }).optional(),
  stopTimeoutMs: fieldSchemas.timeMs.default(defaultStopTimeoutMs),
  limits: limitsSchema
}) satisfies z.ZodType<Settings>
