import * as z from 'zod/mini'
import type { CatalogPage } from '../catalog/CatalogPage.js'
import type { CatalogRow } from '../catalog/CatalogRow.js'
import { CatalogTable } from '../catalog/CatalogTable.js'
import { catalogEntrySchema } from './catalogEntrySchema.js'
import type { Heartbeat } from './Heartbeat.js'
import { hostRecordSchema } from './hostRecordSchema.js'

const namedNumbers = z.array(z.tuple([z.string(), z.number()]))
const tables = z.enum(Object.values(CatalogTable) as [CatalogTable, ...CatalogTable[]])

const rows = z.array(z.object({ key: z.string(), version: z.number(), entry: z.optional(z.unknown()) }))
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
  rateLimits: z._default(z.array(z.tuple([z.string(), z.number().check(z.gte(-1)), z.number().check(z.gte(0))])), []),
  demands: namedNumbers,
  localShares: namedNumbers,
  pages: z.array(z.tuple([tables, z.object({
    // A host of an earlier release doesn't tell the era, so its page must not replace one of a known era.
    era: z._default(z.number(), 0),
    version: z.number(),
    after: z.optional(z.number()),
    rows,
    retained: z.optional(z.object({ remainingMs: z.number().check(z.gte(0)), rows }))
  })]))
})

/** Called for each part of a heartbeat that is left out. */
type RejectionHandler = (reason: string, fields: Readonly<Record<string, string | number>>) => void

/** Validates a heartbeat from another host. Returns undefined when its shape is invalid; leaves out pages and entries that can't be used. */
export function readHeartbeat (value: unknown, onRejected: RejectionHandler = () => {}): Heartbeat | undefined {
  const parsed = schema.safeParse(value)
  if (!parsed.success) return undefined
  const pages = parsed.data.pages.flatMap(([table, page]) => {
    const checked = readPage(table, page, onRejected)
    return checked === undefined ? [] : [[table, checked] as const]
  })
  return { ...parsed.data, pages }
}

/** A page as a peer sends it, with entries of any shape. */
type ForwardedPage = z.infer<typeof schema>['pages'][number][1]

/**
 * Returns undefined for a page with an order that can't be used: without the page this host has no proof that its copy is
 * complete, and reads the orders from the store. An unusable entry of another table names no endpoint or host; the others hold.
 */
function readPage (table: CatalogTable, page: ForwardedPage, onRejected: RejectionHandler): CatalogPage | undefined {
  const { era, version, after, retained } = page
  const rows = readRows(table, page.rows, onRejected)
  const retainedRows = retained === undefined ? undefined : readRows(table, retained.rows, onRejected)
  if (rows === undefined || (retained !== undefined && retainedRows === undefined)) return undefined
  return {
    era,
    version,
    ...(after === undefined ? {} : { after }),
    rows,
    ...(retained === undefined ? {} : { retained: { remainingMs: retained.remainingMs, rows: retainedRows! } })
  }
}

/** Returns undefined when one of the rows is an order that can't be used. */
function readRows (table: CatalogTable, forwarded: ForwardedPage['rows'], onRejected: RejectionHandler): CatalogRow[] | undefined {
  const rows: CatalogRow[] = []
  for (const { key, version, entry } of forwarded) {
    const parsed = entry === undefined ? undefined : catalogEntrySchema.safeParse(entry)
    if (parsed?.success === false) onRejected('forwarded-entry-unusable', { table, key, version })
    if (parsed?.success === false && table === CatalogTable.orders) return undefined
    rows.push({ key, version, entry: parsed?.data })
  }
  return rows
}
