import { z } from 'zod'
import type { Deployment } from '../model/Deployment.js'
import { WorkClass } from '../model/WorkClass.js'
import { fields } from './fields.js'
import { portsSchema } from './portsSchema.js'

const maxBodyBytes = 1_099_511_627_776

/** Longest duration of a request on every host; long permit loans expire after it (design 7.1, `maxRequestMs`). */
const maxDeadlineMs = 900_000

const zoneSchema = z.strictObject({ name: fields.name, region: fields.name })

const hostSchema = z.strictObject({ name: fields.name, zone: fields.name, address: fields.ip, ports: portsSchema })

const routeSchema = z.strictObject({
  methods: z.array(z.string().regex(/^[A-Z]+$/, 'must be an HTTP method in capitals')).default([]),
  prefix: z.string().regex(/^[^\s?#]*$/, 'must be a path without query').default(''),
  workClass: z.enum(WorkClass),
  idempotent: z.boolean(),
  defaultDeadlineMs: z.int().min(1).max(maxDeadlineMs),
  maxBodyBytes: z.int().min(0).max(maxBodyBytes)
})

const serviceSchema = z.strictObject({
  name: fields.name,
  path: z.string().regex(/^[A-Za-z0-9][\w.~-]*$/, 'must be one path segment without slashes'),
  routes: z.array(routeSchema).min(1, 'must have at least one route')
})

const endpointSchema = z.strictObject({
  name: fields.name,
  service: fields.name,
  zone: fields.name,
  address: fields.address,
  slots: fields.count,
  maxConnections: fields.count
})

const linkSchema = z.strictObject({
  regions: z.tuple([fields.name, fields.name]),
  bytesPerSecond: z.int().min(1),
  orderWeight: fields.positive,
  bulkWeight: fields.positive,
  bulkMinimum: fields.share
})

/** Schema of a deployment document; `checkDeployment` checks the relations between its parts. */
export const deploymentSchema = z.strictObject({
  lineage: fields.name,
  zones: z.array(zoneSchema).min(1, 'must name at least one zone'),
  hosts: z.array(hostSchema).min(1, 'must name at least one host'),
  services: z.array(serviceSchema).min(1, 'must name at least one service'),
  endpoints: z.array(endpointSchema),
  links: z.array(linkSchema).default([]),
  objective: z.strictObject({ latency: z.number().min(0), headroom: z.number().min(0) })
}) satisfies z.ZodType<Deployment>
