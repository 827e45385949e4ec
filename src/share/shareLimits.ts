/** Constants of caps, loans and queues; times in ms. */
export const shareLimits = {
  /** Largest number of hosts over which one cap is divided. */
  maxHomeHosts: 16,
  /** Duration of a loan at the lender, counted from the grant or the last renewal. */
  loanMs: 3_000,
  /** Largest relative difference in speed between the monotonic clocks of two hosts. */
  clockDrift: 0.01,
  /** Deducted from a loan's duration at the borrower, in addition to the drift. */
  loanMarginMs: 200,
  /** A borrowed short permit admits only requests whose deadline is at most this far away. */
  shortRequestMs: 10_000,
  /** Longest time that any request may run. */
  maxRequestMs: 900_000,
  /** A restarted host neither uses nor lends its rate for this time, since it has no record of what its earlier process lent. */
  rateQuarantineMs: 3_000,
  /** The same for permits: the duration of a loan plus that of the short requests that may outlive the loan. */
  permitQuarantineMs: 13_000,
  /** A loan is renewed this long after it was granted or last renewed. */
  renewAfterMs: 1_000,
  /** A loan request that is not answered within this time counts as failed. */
  loanRequestTimeoutMs: 600,
  /** Backoff for a lender that granted less than requested. */
  shortfallBackoffMs: 150,
  /** Backoff for a lender that could not be reached, and the longest backoff for one that grants nothing. */
  unreachableBackoffMs: 1_000,
  /** Largest number of loans of one customer from one lender; bounds the table when demand grows in many small steps. */
  maxLoansPerLender: 8,
  /** A request waits at most this long for rate and a permit. */
  maxQueueMs: 5_000,
  /** Fraction of the time to its deadline that a request may spend in the queue. */
  queueFraction: 0.8,
  /** Shortest interval between two recalls of one customer's loans by a lender. */
  recallIntervalMs: 250,
  /** Interval of checks for a customer with loans but without a queue; a customer with a queue is served on every tick. */
  loanCheckIntervalMs: 100,
  /** Interval of checks for a customer without loans and without a queue. One check of 5,000 such customers takes 17 ms. */
  demandCheckIntervalMs: 250,
  /** Interval at which rows are checked for idleness. */
  sweepIntervalMs: 1_000,
  /** A row without traffic, loans and requests in flight is dropped after this time. */
  idleRowTtlMs: 30_000,
  /** Fraction of its own rate that an idle lender does not lend, so that its first request does not wait. */
  reservedRateFraction: 0.02,
  /** Factor by which demand is raised before it is compared with the available amounts. */
  demandHeadroom: 1.15,
  /** The burst covers this much time at the current rate, so that the tokens of one tick are not lost. */
  burstWindowMs: 40,
  /** Upload bytes that may be sent at once, expressed as time at the upload rate. */
  uploadBurstMs: 250,
  /** Retries allowed per admitted request. */
  retryFraction: 0.1,
  /** Retries that a customer may accumulate, whatever its rate. */
  retryFloor: 3,
  /** Retries per second that a customer gets without any admitted request. */
  retryFloorPerSecond: 0.2,
  /** Largest number of customers whose use is reported in a digest. */
  maxReportedUses: 64,
  /** Largest number of rows in one announcement frame; keeps the frame well below the size limit. */
  maxAnnouncementRows: 2_000
} as const
