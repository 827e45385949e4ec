import * as z from 'zod/mini'

const rows = z.array(z.object({ key: z.string(), version: z.number(), entry: z.optional(z.unknown()) }))

/** A page of another host, with entries of any shape. */
export const forwardedPageSchema = z.object({
  // A host of an earlier release doesn't tell the era, so its page must not replace one of a known era.
  era: z._default(z.number(), 0),
  version: z.number(),
  after: z.optional(z.number()),
  rows,
  retained: z.optional(z.object({ remainingMs: z.number().check(z.gte(0)), rows }))
})
