import { z } from 'zod'
import { contractSchema } from '../config/contractSchema.js'
import { deploymentSchema } from '../config/deploymentSchema.js'

const digestSchema = z.looseObject({
  entryIncarnation: z.number(),
  appliedVersion: z.number(),
  serving: z.boolean(),
  leaving: z.boolean(),
  inFlight: z.number()
})

const memberSchema = z.looseObject({ host: z.string(), zone: z.string(), state: z.string(), configVersion: z.number(), digest: digestSchema.optional() })

const faultSchema = z.looseObject({ name: z.string(), message: z.string() }).nullish()

/** Schemas of the responses of the operators' interface; they pass on fields that shuntctl does not use. */
export const responseSchemas = {
  receipt: z.looseObject({ writeId: z.string(), version: z.number(), by: z.string(), change: z.string() }),
  preview: z.looseObject({ dryRun: z.literal(true), version: z.number(), change: z.string() }),
  outcome: z.looseObject({
    writeId: z.string(),
    outcome: z.enum(['accepted', 'not-run', 'unknown']),
    receipt: z.looseObject({ writeId: z.string(), version: z.number(), by: z.string(), change: z.string() }).optional()
  }),
  contracts: z.looseObject({ version: z.number(), contracts: z.array(contractSchema) }),
  contract: z.looseObject({ contract: contractSchema }),
  deployment: z.looseObject({ version: z.number(), deployment: deploymentSchema }),
  drains: z.looseObject({
    version: z.number(),
    drains: z.array(z.looseObject({
      kind: z.string(), name: z.string(), by: z.string(), atMs: z.number(), inFlight: z.number(), notApplied: z.array(z.string()), complete: z.boolean()
    }))
  }),
  status: z.looseObject({
    host: z.string(),
    version: z.number(),
    members: z.array(memberSchema),
    leavingEndpoints: z.array(z.string()),
    leavingHosts: z.array(z.string()),
    fault: faultSchema,
    differences: z.array(z.looseObject({ by: z.string(), host: z.string(), here: z.string(), there: z.string() })).optional()
  }),
  config: z.looseObject({
    host: z.string(),
    lineage: z.string().optional(),
    version: z.number(),
    fault: faultSchema,
    hosts: z.array(z.looseObject({ host: z.string(), zone: z.string(), reachable: z.boolean(), agentVersion: z.number(), appliedVersion: z.number() }))
  }),
  limits: z.looseObject({
    customer: z.string(),
    version: z.number(),
    cap: z.looseObject({ rate: z.number(), burst: z.number(), concurrency: z.number(), uploadBytesPerSecond: z.number(), regionShare: z.number() }),
    use: z.looseObject({ inFlight: z.number(), rate: z.number() }),
    hosts: z.array(z.looseObject({ host: z.string(), state: z.string(), inFlight: z.number(), rate: z.number(), rateHeld: z.number(), permitsHeld: z.number() }))
  }),
  explanation: z.looseObject({ host: z.string(), steps: z.array(z.looseObject({ step: z.string(), detail: z.string() })) })
}
