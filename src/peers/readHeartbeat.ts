import * as z from 'zod/mini'
import { CatalogTable } from '../catalog/CatalogTable.js'
import { rateLimitCodec } from '../endpoints/rateLimitCodec.js'
import { forwardedPageSchema } from './forwardedPageSchema.js'
import type { Heartbeat } from './Heartbeat.js'
import { hostRecordSchema } from './hostRecordSchema.js'
import { readForwardedPage } from './readForwardedPage.js'
import type { RejectionHandler } from './RejectionHandler.js'

const namedNumbers = z.array(z.tuple([z.string(), z.number()]))
const tables = z.enum(Object.values(CatalogTable) as [CatalogTable, ...CatalogTable[]])

const tableNumbers = z.object({ orders: z.number(), endpoints: z.number(), hosts: z.number() })
const unknownAges = { orders: -1, endpoints: -1, hosts: -1 }

const schema = z.object({
  host: hostRecordSchema,
  isReady: z.boolean(),
  isLeaving: z.boolean(),
  storeAgeMs: z.number(),
  // Absent from heartbeats of an earlier release during a rolling upgrade.
  tableAges: z._default(tableNumbers, unknownAges),
  isStoreSettled: z.boolean(),
  versions: tableNumbers,
  eras: z.optional(tableNumbers),
  loads: namedNumbers,
  // Absent from heartbeats of an earlier release too.
  breaks: z._default(namedNumbers, []),
  rateLimits: z._default(z.array(rateLimitCodec.schema), []),
  backoffs: z._default(z.array(z.tuple([z.string(), z.number(), z.number().check(z.gte(0))])), []),
  demands: namedNumbers,
  localShares: namedNumbers,
  pages: z.array(z.tuple([tables, forwardedPageSchema]))
})

/** Validates a heartbeat from another host. Returns undefined when its shape is invalid; leaves out pages and entries that can't be used. */
export function readHeartbeat (value: unknown, onRejected: RejectionHandler = () => {}): Heartbeat | undefined {
  const parsed = schema.safeParse(value)
  if (!parsed.success) return undefined
  const pages = parsed.data.pages.flatMap(([table, page]) => {
    const checked = readForwardedPage(table, page, onRejected)
    return checked === undefined ? [] : [[table, checked] as const]
  })
  return { ...parsed.data, pages }
}
