import * as z from 'zod/mini'
import { RequestKind } from './RequestKind.js'

const atLeastZero = z.number().check(z.gte(0))
/** Like `atLeastZero`, but with infinity, which stands for no limit. */
const limit = z.custom<number>((value) => typeof value === 'number' && value >= 0, 'is not a limit')

const routeSchema = z.object({
  name: z.string(),
  host: z.string(),
  prefix: z.string(),
  kind: z.enum(RequestKind),
  parts: z.array(z.object({ service: z.string(), weight: atLeastZero })).check(z.minLength(1)),
  timeoutMs: atLeastZero,
  objectiveMs: atLeastZero,
  priority: z.number(),
  maxAttempts: z.number(),
  hasAffinity: z.boolean(),
  regions: z.array(z.string())
})

/** What the code behind the links between hosts assumes about a configuration. */
export const routingConfigSchema = z.object({
  version: z.int().check(z.gte(0)),
  routes: z.array(routeSchema),
  services: z.array(z.object({ name: z.string(), healthPath: z.string(), maxConnections: limit, coldPerSecond: limit })),
  limits: z.object({ headerBytes: atLeastZero, bodyBytes: atLeastZero, headerTimeoutMs: atLeastZero, idleTimeoutMs: atLeastZero })
})
