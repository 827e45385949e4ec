import * as z from 'zod/mini'
import { isAddress } from '../common/isAddress.js'

/** Maximum length of names in characters. */
const maxNameLength = 200

const name = z.string().check(z.minLength(1), z.maxLength(maxNameLength))
const address = z.string().check(z.refine(isAddress, 'is not an IPv4 address with a port'))

/** What the code behind the store and the links between hosts assumes about a host. */
export const hostRecordSchema = z.object({
  name,
  zone: name,
  region: name,
  callerAddress: address,
  peerAddress: address,
  linkMbps: z.number().check(z.gte(0)),
  incarnation: z.number().check(z.gte(0))
})
