import type * as z from 'zod/mini'
import type { CatalogPage } from '../catalog/CatalogPage.js'
import type { CatalogRow } from '../catalog/CatalogRow.js'
import { CatalogTable } from '../catalog/CatalogTable.js'
import { catalogEntrySchema } from './catalogEntrySchema.js'
import type { forwardedPageSchema } from './forwardedPageSchema.js'
import type { RejectionHandler } from './RejectionHandler.js'

/** A page as another host sends it. */
type ForwardedPage = z.infer<typeof forwardedPageSchema>

/**
 * Returns undefined for a page with an order that can't be used: without the page this host has no proof that its copy is
 * complete, and reads the orders from the store. An unusable entry of another table names no endpoint or host; the others hold.
 */
export function readForwardedPage (table: CatalogTable, page: ForwardedPage, onRejected: RejectionHandler): CatalogPage | undefined {
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
