import { z } from 'zod'
import type { Exchange } from './Exchange.js'
import { isWireRow } from './isWireRow.js'
import type { WireRow } from './WireRow.js'

const count = z.number().nonnegative()
const name = z.string().min(1).max(128)
const names = z.array(name).max(20_000)

const rowSchema = z.custom<WireRow>(isWireRow)

/** Validates an exchange received from another agent. */
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
