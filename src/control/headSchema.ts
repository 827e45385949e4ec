import { z } from 'zod'

const version = z.number().int().positive()

/** Schema of the value of row `config/head`. */
export const headSchema = z.object({
  lineage: z.string().min(1),
  version,
  object: z.string().min(1),
  writeId: z.string().min(1),
  log: z.array(z.object({ version, writeId: z.string(), by: z.string(), change: z.string() })).max(64)
})
