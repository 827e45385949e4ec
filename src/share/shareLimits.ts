/** Fixed numbers of caps, loans and queues; times in ms. */
export const shareLimits = {
  /** Hosts over which one cap is divided. */
  maxHomeHosts: 16,
  /** Duration of a loan at the lender, counted from the grant or the last renewal. */
  loanMs: 3_000,
  /** Largest difference in speed between two monotonic clocks. */
  clockDrift: 0.01,
  /** Taken off a loan's duration at the borrower on top of the drift. */
  loanMarginMs: 200,
  /** A short permit loan serves requests whose deadline is at most this far away. */
  shortRequestMs: 10_000,
  /** Longest time that any request may run. */
  maxRequestMs: 900_000,
  /** A restarted host uses none of its rate for this time, since it has no record of what it lent. */
  rateQuarantineMs: 3_000,
  /** The same for permits: a loan, and the requests that may outlive it. */
  permitQuarantineMs: 13_000,
  /** A loan is renewed this long after it was granted or last renewed. */
  renewAfterMs: 1_000,
  /** An unanswered loan request counts as lost after this time. */
  loanRequestTimeoutMs: 600,
  /** A lender that gave less than asked for is asked again after this time. */
  shortfallBackoffMs: 150,
  /** A lender that could not be reached is asked again after this time. */
  unreachableBackoffMs: 1_000,
  /** Loans of one customer from one lender; bounds the table when demand grows in many small steps. */
  maxLoansPerLender: 8,
  /** A request waits at most this long for rate and a permit. */
  maxQueueMs: 5_000,
  /** Fraction of the time to its deadline that a request may spend in the queue. */
  queueFraction: 0.8,
  /** A lender asks its borrowers for an early renewal at most this often. */
  recallIntervalMs: 250,
  /** Loans of a customer without a queue are looked at this often; a customer with a queue on every tick. */
  loanCheckIntervalMs: 100,
  /** Customers without loans and without a queue are looked at this often: 5,000 of them cost 17 ms a time. */
  demandCheckIntervalMs: 250,
  /** Rows are checked for idleness this often. */
  sweepIntervalMs: 1_000,
  /** A row without traffic, loans and requests in flight is dropped after this time. */
  idleRowTtlMs: 30_000,
  /** Fraction of an idle lender's rate that it keeps, so that a first request there does not wait. */
  reservedRateFraction: 0.02,
  /** Demand is raised by this factor before it is compared with what is held. */
  demandHeadroom: 1.15,
  /** Burst held for this much time at the current rate, so that a tick's worth of tokens is not lost. */
  burstWindowMs: 40,
  /** Upload bytes that may be sent at once, as time at the upload rate. */
  uploadBurstMs: 250,
  /** Retries allowed per admitted request. */
  retryFraction: 0.1,
  /** Retries that a customer may save up, whatever its rate. */
  retryFloor: 3,
  /** Retries per second that a customer gets without any admitted request. */
  retryFloorPerSecond: 0.2,
  /** Rows of use reported in a digest. */
  maxReportedUses: 64,
  /** Rows in one announcement frame; keeps it well under the frame limit. */
  maxAnnouncementRows: 2_000
} as const
