import { z } from 'zod'
import type { Deployment } from '../model/Deployment.js'
import { WorkClass } from '../model/WorkClass.js'
import { fieldSchemas } from './fieldSchemas.js'
import { portsSchema } from './portsSchema.js'

const maxBodyBytes = 1_099_511_627_776

/** Longest duration of a request on every host; long permit loans expire after it (design 7.1, `maxRequestMs`). */
const maxDeadlineMs = 900_000

const zoneSchema = z.strictObject({ name: fieldSchemas.name, region: fieldSchemas.name })

const hostSchema = z.strictObject({ name: fieldSchemas.name, zone: fieldSchemas.name, address: fieldSchemas.ip, ports: portsSchema })

const routeSchema = z.strictObject({
  methods: z.array(z.string().regex(/^[A-Z]+$/, 'must be an HTTP method in capitals')).default([]),
  prefix: z.string().regex(/^[^\s?#]*$/, 'must be a path without query').default(''),
  workClass: z.enum(WorkClass),
  idempotent: z.boolean(),
  defaultDeadlineMs: z.int().min(1).max(maxDeadlineMs),
  maxBodyBytes: z.int().min(0).max(maxBodyBytes)
})

const serviceSchema = z.strictObject({
  name: fieldSchemas.name,
  path: z.string().regex(/^[A-Za-z0-9][\w.~-]*$/, 'must be one path segment without slashes'),
  routes: z.array(routeSchema).min(1, 'must have at least one route')
})

const endpointSchema = z.strictObject({
  name: fieldSchemas.name,
  service: fieldSchemas.name,
  zone: fieldSchemas.name,
  address: fieldSchemas.address,
  slots: fieldSchemas.count,
  maxConnections: fieldSchemas.count
})

const linkSchema = z.strictObject({
  regions: z.tuple([fieldSchemas.name, fieldSchemas.name]),
  bytesPerSecond: z.int().min(1),
  orderWeight: fieldSchemas.positive,
  bulkWeight: fieldSchemas.positive,
  bulkMinimum: fieldSchemas.share
})

/** Schema of a deployment document; `checkDeployment` checks the relations between its parts. */
export const deploymentSchema = z.strictObject({
  lineage: fieldSchemas.name,
  zones: z.array(zoneSchema).min(1, 'must name at least one zone'),
  hosts: z.array(hostSchema).min(1, 'must name at least one host'),
  services: z.array(serviceSchema).min(1, 'must name at least one service'),
  endpoints: z.array(endpointSchema),
  links: z.array(linkSchema).default([]),
  objective: z.strictObject({ latency: z.number().min(0), headroom: z.number().min(0) })
}) satisfies z.ZodType<Deployment>
