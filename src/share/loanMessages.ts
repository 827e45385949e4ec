import { z } from 'zod'

const amount = z.number().min(0).max(1e12)
const permits = z.number().int().min(0).max(1e9)
const seq = z.number().int().min(0).max(Number.MAX_SAFE_INTEGER)
const customer = z.string().min(1).max(200)
const parts = { rate: amount, burst: permits, short: permits, long: permits, upload: amount }
const loanAmount = z.object(parts)
const heldRow = z.object({ seq, ...parts })

/** Shapes of the messages about loans between entry processes. */
export const loanMessages = {
  /** Asks for a loan, renews the loans in `held`, or both. */
  request: z.object({
    t: z.literal('loan_request'),
    customer,
    seq,
    settledSeq: seq,
    held: z.array(heldRow).max(64),
    ask: loanAmount,
    /** What the borrower wants to hold from all lenders together. */
    need: loanAmount
  }),
  /** States what the sender still holds of one customer; everything else is given back. */
  statement: z.object({
    t: z.literal('loan_return'),
    customer,
    settledSeq: seq,
    held: z.array(heldRow).max(64)
  }),
  /** Asks a borrower to renew at once, since its lender needs some of its portion back. */
  recall: z.object({ t: z.literal('loan_return'), recall: customer }),
  /** Tells a restarted lender which long permits the sender holds; the last frame is `complete`. */
  announcement: z.object({
    t: z.literal('loan_return'),
    to: seq,
    rows: z.array(z.object({ customer, seq, long: permits })).max(4_000),
    complete: z.boolean(),
    /** True when the sender holds nothing at all from the earlier process and waits for no answer from it. */
    holdsNothing: z.boolean()
  }),
  /** Answer to a request. */
  grant: z.object({
    t: z.literal('loan_grant'),
    amount: loanAmount,
    renewed: z.array(heldRow).max(64)
  })
} as const
