import * as z from 'zod/mini'
import { isAddress } from '../common/isAddress.js'

/** Maximum length of ids and names in characters. */
const maxNameLength = 200
/** A larger number of slots would draw all requests of the service to one endpoint. */
const maxSlots = 10_000
/** Longest cold period in ms, one day. */
const maxColdMs = 86_400_000

const name = z.string().check(z.minLength(1), z.maxLength(maxNameLength))

/** What the code behind the registry and the links between hosts assumes about an endpoint. */
export const endpointRecordSchema = z.object({
  // Attempts carry the id in a header.
  id: name.check(z.regex(/^[\x21-\x7e]+$/, 'has a character that is not allowed in a header')),
  address: z.string().check(z.refine(isAddress, 'is not an IPv4 address with a port')),
  service: name,
  zone: name,
  slots: z.int().check(z.gte(1), z.lte(maxSlots)),
  isDraining: z.boolean(),
  coldMs: z.number().check(z.gte(0), z.lte(maxColdMs)),
  bornAtMs: z.int().check(z.gte(0))
})
