import { z } from 'zod'

const count = z.number().nonnegative()
const name = z.string().min(1).max(128)

/** Validates a digest received from the entry process, and the usage per customer received from other agents. */
export const digestSchema = z.object({
  host: name,
  entryIncarnation: count,
  seq: count,
  appliedVersion: count,
  serving: z.boolean(),
  leaving: z.boolean(),
  inFlight: count,
  loads: z.array(z.object({ service: name, slots: count, used: count, queued: count, serviceMs: count })).max(1_000),
  leavingEndpoints: z.array(name).max(20_000),
  drainInFlight: z.record(name, count),
  uses: z.array(z.object({ customer: name, inFlight: count, rate: count, rateHeld: z.number(), permitsHeld: z.number() })).max(64)
})
