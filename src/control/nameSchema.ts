import { z } from 'zod'

/** Names of hosts, zones, services, endpoints and customers; the character set keeps log lines and paths unambiguous. */
export const nameSchema = z.string().regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$/, 'must have 1 to 128 letters, digits, ".", "_" or "-"')
