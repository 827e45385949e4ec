import { z } from 'zod'
import { nameSchema } from './nameSchema.js'

const port = z.number().int().min(1).max(65_535)
const ipv4 = z.ipv4('must be an IPv4 address')
const weight = z.number().nonnegative()

const portsSchema = z.object({
  caller: port.default(8080),
  internal: port.default(8081),
  peer: port.default(8082),
  lookup: port.default(8083),
  agent: port.default(8084),
  operator: port.default(8085),
  entryAdmin: port.default(8086)
}).strict()

const routeSchema = z.object({
  methods: z.array(z.string().regex(/^[A-Z]+$/)).max(16),
  prefix: z.string().max(256),
  workClass: z.enum(['interactive', 'order', 'bulk']),
  idempotent: z.boolean(),
  defaultDeadlineMs: z.number().int().positive().max(900_000),
  maxBodyBytes: z.number().int().nonnegative()
}).strict()

const linkSchema = z.object({
  regions: z.tuple([nameSchema, nameSchema]),
  bytesPerSecond: z.number().positive(),
  orderWeight: weight,
  bulkWeight: weight,
  bulkMinimum: z.number().min(0).max(1)
}).strict()

/** The parts of the configuration that `PUT /admin/v1/deployment` sets; ports that are not named take their defaults. */
export const deploymentSchema = z.object({
  lineage: nameSchema,
  zones: z.array(z.object({ name: nameSchema, region: nameSchema }).strict()).min(1).max(1_000),
  hosts: z.array(z.object({ name: nameSchema, zone: nameSchema, address: ipv4, ports: portsSchema.prefault({}) }).strict()).min(1).max(20_000),
  services: z.array(z.object({ name: nameSchema, path: nameSchema, routes: z.array(routeSchema).max(256) }).strict()).max(1_000),
  endpoints: z.array(z.object({
    name: nameSchema,
    service: nameSchema,
    zone: nameSchema,
    address: z.string().regex(/^\d+\.\d+\.\d+\.\d+:\d+$/, 'must be a.b.c.d:port'),
    slots: z.number().int().positive().max(100_000),
    maxConnections: z.number().int().positive()
  }).strict()).max(20_000),
  links: z.array(linkSchema).max(1_000),
  objective: z.object({ latency: weight, headroom: weight }).strict()
}).strict()
