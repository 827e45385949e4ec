import { z } from 'zod'

const amount = z.number().min(0).max(1e12)
const permits = z.number().int().min(0).max(1e9)
const seq = z.number().int().min(0).max(Number.MAX_SAFE_INTEGER)
const customer = z.string().min(1).max(200)
const amounts = { rate: amount, burst: permits, short: permits, long: permits, upload: amount }
const loanAmount = z.object(amounts)
const heldRow = z.object({ seq, ...amounts })

/** Schemas of the loan messages that entry processes exchange. */
export const loanMessages = {
  /** Requests a loan, renews the loans in `held`, or both. */
  request: z.object({
    t: z.literal('loan_request'),
    customer,
    seq,
    settledSeq: seq,
    held: z.array(heldRow).max(64),
    ask: loanAmount,
    /** The borrower's demand for loans from all lenders together. */
    need: loanAmount
  }),
  /** Lists the loans of one customer that the sender still holds; all others are returned. */
  statement: z.object({
    t: z.literal('loan_return'),
    customer,
    settledSeq: seq,
    held: z.array(heldRow).max(64)
  }),
  /** Requests an immediate renewal from a borrower, since the lender needs some of its portion back. */
  recall: z.object({ t: z.literal('loan_return'), recall: customer }),
  /** Reports to a restarted lender which of its long permits the sender holds; the last frame is `complete`. */
  announcement: z.object({
    t: z.literal('loan_return'),
    to: seq,
    rows: z.array(z.object({ customer, seq, long: permits })).max(4_000),
    complete: z.boolean(),
    /** True when the sender holds no loan from the earlier process and has no request to it pending. */
    holdsNothing: z.boolean()
  }),
  /** Answers a request with the granted amount and the renewed loans. */
  grant: z.object({
    t: z.literal('loan_grant'),
    amount: loanAmount,
    renewed: z.array(heldRow).max(64)
  })
} as const
