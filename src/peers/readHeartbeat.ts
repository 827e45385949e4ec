import * as z from 'zod/mini'
import type { CatalogEntry } from '../catalog/CatalogEntry.js'
import { CatalogTable } from '../catalog/CatalogTable.js'
import { endpointRecordSchema } from '../endpoints/endpointRecordSchema.js'
import type { Heartbeat } from './Heartbeat.js'

const namedNumbers = z.array(z.tuple([z.string(), z.number()]))
const tables = z.enum(Object.values(CatalogTable) as [CatalogTable, ...CatalogTable[]])

const unknownAges = { orders: -1, endpoints: -1, hosts: -1 }

const schema = z.object({
  host: z.object({
    name: z.string(),
    zone: z.string(),
    region: z.string(),
    callerAddress: z.string(),
    peerAddress: z.string(),
    linkMbps: z.number(),
    incarnation: z.number()
  }),
  isReady: z.boolean(),
  isLeaving: z.boolean(),
  storeAgeMs: z.number(),
  // Absent from heartbeats of an earlier release during a rolling upgrade.
  tableAges: z._default(z.object({ orders: z.number(), endpoints: z.number(), hosts: z.number() }), unknownAges),
  isStoreSettled: z.boolean(),
  versions: z.object({ orders: z.number(), endpoints: z.number(), hosts: z.number() }),
  loads: namedNumbers,
  // Absent like the ages.
  breaks: z._default(namedNumbers, []),
  demands: namedNumbers,
  localShares: namedNumbers,
  pages: z.array(z.tuple([tables, z.object({
    version: z.number(),
    after: z.optional(z.number()),
    rows: z.array(z.object({ key: z.string(), version: z.number(), entry: z.optional(z.pipe(z.unknown(), z.transform(readEntry))) }))
  })]))
})

/** Validates a heartbeat from another host. Returns undefined when its shape is invalid. */
export function readHeartbeat (value: unknown): Heartbeat | undefined {
  const parsed = schema.safeParse(value)
  return parsed.success ? parsed.data as Heartbeat : undefined
}

/**
 * Returns undefined for an entry that names no usable endpoint: a host of an earlier release forwards such entries from the
 * store. Other entries are checked by the host that read them.
 */
function readEntry (value: unknown): CatalogEntry | undefined {
  if (typeof value !== 'object' || value === null || !('kind' in value)) return undefined
  const entry = value as CatalogEntry
  return entry.kind === 'endpoint' && !endpointRecordSchema.safeParse(entry.endpoint).success ? undefined : entry
}
