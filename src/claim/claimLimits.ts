/** Constants of idempotency keys; times in ms. */
export const claimLimits = {
  /** Time for which a claim may be used, counted from before the request for it was sent. */
  validMs: 2_000,
  /** Largest relative difference in rate between two monotonic clocks. */
  clockDrift: 0.01,
  /** Time for which callers may repeat a key. */
  retentionMs: 600_000,
  /**
   * Time for which a settled key is recorded, and for which a home without complete records refuses unrecorded keys.
   * The sum of `retentionMs` and `validMs`, since a claim requested within the retention time may be used after it.
   */
  recordRetentionMs: 602_000,
  /** Time after its deadline from which a running key counts as unknown. */
  deadlineGraceMs: 5_000,
  /** Longest time that a request may run. */
  maxRequestMs: 900_000,
  /** Longest key, in characters. */
  maxKeyLength: 200,
  /** Keys that a home records; further keys are refused. */
  maxClaims: 200_000,
  /** Bytes of answers that a home stores. Beyond that the oldest answers are dropped, but not their claims. */
  maxAnswerBytes: 67_108_864,
  /** Largest answer body that is stored. */
  maxAnswerBodyBytes: 65_536,
  /** Longest wait for the acknowledgement of the witness; after that the claim is granted without it. */
  witnessWaitMs: 50,
  /** Time for which claims do not wait for a witness that has not answered. */
  witnessPauseMs: 1_000,
  /** Timeout of a request to a home, in addition to the time for which the home may hold the answer back. */
  homeTimeoutMs: 600,
  /** Longest time for which a home holds back the answer for a running key; after that the requester repeats its request. */
  longPollMs: 2_000,
  /** Requests that may wait for running keys at one home. */
  maxWaiters: 10_000,
  /** Time after which the delivery of a settlement is retried. */
  settleRetryMs: 500,
  /** Time after which an undelivered settlement is dropped. */
  settleExpiryMs: 60_000,
  /** Settlements that may wait for delivery; beyond that the oldest is dropped. */
  maxSettlements: 20_000,
  /** Bytes of rows in one handover frame, well under the limit for frames. */
  handoverFrameBytes: 524_288,
  /**
   * Time for which a complete handover may be read. It must be less than `retentionMs`: a process that starts in between
   * without reading the handover then grants no unrecorded hashed key before the handover has expired.
   */
  handoverValidMs: 300_000,
  /** Timeout of one handover frame. */
  handoverTimeoutMs: 2_000,
  /** Hosts to which a handover is offered, one after the other. */
  handoverHosts: 4,
  /** Bytes counted for a row without its answer. */
  rowBytes: 600,
  /** Hosts that a started process requests a handover from. */
  recoveryHosts: 16,
  /** Interval at which a process reports to a home that a request still runs, in case the home has restarted. */
  refreshMs: 60_000,
  /** Interval of the periodic work that is not done on every tick. */
  sweepMs: 1_000,
  /** Time after its start during which a process looks for the handover of its predecessor. */
  recoveryMs: 10_000
} as const
