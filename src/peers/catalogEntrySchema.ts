import * as z from 'zod/mini'
import { endpointRecordSchema } from '../endpoints/endpointRecordSchema.js'
import { routingConfigSchema } from '../routing/routingConfigSchema.js'
import { hostRecordSchema } from './hostRecordSchema.js'

/** An entry that another host forwards; a host of another release may read entries from the store by other rules. */
export const catalogEntrySchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('routing'), config: routingConfigSchema }),
  z.object({ kind: z.literal('evacuation'), zone: z.string() }),
  z.object({ kind: z.literal('endpoint'), endpoint: endpointRecordSchema }),
  z.object({ kind: z.literal('host'), host: hostRecordSchema })
])
