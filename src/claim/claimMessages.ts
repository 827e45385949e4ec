import { z } from 'zod'
import { claimLimits } from './claimLimits.js'

const text = z.string().max(256)
const count = z.number().int().min(0).max(Number.MAX_SAFE_INTEGER)
const durationMs = z.number().min(0).max(claimLimits.maxRequestMs * 2)
const body = z.custom<Uint8Array>((value) => value instanceof Uint8Array && value.length <= claimLimits.maxAnswerBodyBytes)
const headers = z.record(text, z.union([z.string().max(16_384), z.array(z.string().max(16_384)).max(64)]))
const answer = z.object({ status: z.number().int().min(100).max(599), headers, body })
const keyed = { customer: text.min(1), key: z.string().min(1).max(claimLimits.maxKeyLength) }
const state = z.enum(['running', 'done', 'unknown'])
const row = z.object({
  ...keyed,
  fingerprint: text,
  executor: z.object({ host: text, incarnation: count }),
  claimId: text,
  state,
  /** Time left in ms until a running key counts as unknown. */
  remainingMs: durationMs,
  answer: answer.optional()
})
const coverage = {
  /** Sets of configured hosts under which the records were made. */
  hostSets: z.array(z.array(text).max(20_000)).max(16),
  /** Time left in ms until the records of hashed keys are complete; 0 when they are. */
  incompleteMs: durationMs
}

/** Schemas of the messages about idempotency keys between entry processes. */
export const claimMessages = {
  /** Requests a claim from a home, which holds the answer back for up to `waitMs` while the key is running. */
  claim: z.object({ t: z.literal('claim'), ...keyed, fingerprint: text, claimId: text, remainingMs: durationMs, waitMs: durationMs }),
  /** Answer to `claim`. */
  decision: z.object({
    t: z.literal('claim_answer'),
    kind: z.enum(['granted', 'running', 'retry', 'done', 'mismatch', 'unknown', 'gone', 'incomplete', 'notHome', 'stopping', 'full']),
    answer: answer.optional()
  }),
  /** Reports to a home how a claim ended, or that its request still runs. */
  result: z.object({
    t: z.literal('claim_result'),
    ...keyed,
    fingerprint: text,
    claimId: text,
    outcome: z.enum(['notRun', 'unknown', 'done', 'running']),
    remainingMs: durationMs,
    answer: answer.optional()
  }),
  /** Sends a copy of a key's state to a witness; `absent` when the key may be claimed again. */
  copy: z.object({ t: z.literal('claim_copy'), ...keyed, fingerprint: text, state: z.enum(['running', 'done', 'unknown', 'absent']), answer: answer.optional() }),
  /** Requests the copy of a witness. */
  read: z.object({ t: z.literal('claim_read'), ...keyed }),
  /** Answer to `read`. */
  copyAnswer: z.object({ t: z.literal('claim_copy'), found: z.boolean(), fingerprint: text, state, answer: answer.optional() }),
  /** One frame of a stopping home's records; the last one has `complete` with the number of all rows. */
  handover: z.object({
    t: z.literal('claim_handover'),
    rows: z.array(row).max(4_000),
    complete: z.object({ rows: count, ...coverage }).optional()
  }),
  /** Requests the rows of a handover from index `handoverFrom` on. The handover of the sender's predecessor is the only one that it may read. */
  handoverRead: z.object({ t: z.literal('claim_read'), handoverFrom: count }),
  /** Answer to `handoverRead`. */
  handoverRows: z.object({
    t: z.literal('claim_handover'),
    found: z.boolean(),
    total: count,
    rows: z.array(row).max(4_000),
    ...coverage
  })
} as const
