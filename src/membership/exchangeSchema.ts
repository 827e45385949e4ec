import { z } from 'zod'
import { digestSchema } from './digestSchema.js'
import type { Exchange } from './Exchange.js'

const count = z.number().nonnegative()
const name = z.string().min(1).max(128)
const names = z.array(name).max(20_000)

const reportSchema = z.object({
  incarnation: count,
  no: count,
  digest: digestSchema.optional(),
  listing: z.object({ endpoints: names, hosts: names }).optional()
})

const rowHead = [name, name, count, count, z.number().int().min(0).max(2), count] as const
const rowSchema = z.union([z.tuple([...rowHead]), z.tuple([...rowHead, reportSchema])])

/** Shape of an exchange as it arrives from another agent. */
export const exchangeSchema = z.object({
  row: rowSchema,
  epoch: count,
  from: count,
  upTo: count,
  rows: z.array(rowSchema).max(20_000),
  got: count,
  gotEpoch: count,
  down: z.boolean(),
  wants: names,
  wantZones: names,
  summary: z.array(z.tuple([name, count, count, count, count, count])).max(64),
  lineage: z.string().max(128),
  version: count,
  writeId: z.string().max(64)
}) satisfies z.ZodType<Exchange>
