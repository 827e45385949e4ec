/** Fixed numbers of idempotency keys; times in ms. */
export const claimLimits = {
  /** Time for which a claim may be used, from the moment before its request was sent. */
  validMs: 2_000,
  /** Largest difference in speed between two monotonic clocks. */
  clockDrift: 0.01,
  /** Callers may repeat a key for this time. */
  retentionMs: 600_000,
  /**
   * A settled key is remembered, and a home without complete memory refuses unknown keys, for this time: the
   * retention time and `validMs`, since a claim that is asked for within the retention time may be used later.
   */
  memoryMs: 602_000,
  /** A running key whose deadline has passed by this much counts as unknown. */
  deadlineGraceMs: 5_000,
  /** Longest time that any request may run. */
  maxRequestMs: 900_000,
  /** Longest key, in characters. */
  maxKeyLength: 200,
  /** Keys that a home remembers; over it new keys are refused. */
  maxClaims: 200_000,
  /** Bytes of answers that a home keeps; over it the oldest answers are dropped while their claims stay. */
  maxAnswerBytes: 67_108_864,
  /** A larger answer is not kept. */
  maxAnswerBodyBytes: 65_536,
  /** Longest wait for the witness before a claim is granted without its copy. */
  witnessWaitMs: 50,
  /** A witness that did not answer is not waited for during this time. */
  witnessPauseMs: 1_000,
  /** Time for a home's answer, on top of the time for which it may hold the request back. */
  homeTimeoutMs: 600,
  /** A home holds the request for a running key back this long at most, then the asker asks again. */
  waitSliceMs: 2_000,
  /** Requests that wait for running keys at one home. */
  maxWaiters: 10_000,
  /** Settlements that could not be delivered to their home are tried again after this time. */
  settleRetryMs: 500,
  /** Settlements are given up after this time. */
  settleGiveUpMs: 60_000,
  /** Settlements that wait for their home. */
  maxSettlements: 20_000,
  /** Bytes of rows in one handover frame; well under the frame limit. */
  handoverFrameBytes: 524_288,
  /**
   * A complete handover is usable for this time. It must be under `retentionMs`: a process in between that
   * did not take the handover grants no unknown hashed key before the handover has run out.
   */
  handoverValidMs: 300_000,
  /** Time for one frame of a handover. */
  handoverTimeoutMs: 2_000,
  /** Hosts that are tried as holders of a handover. */
  handoverTries: 4,
  /** Bytes that a row without its answer is counted with. */
  rowBytes: 600,
  /** Hosts that are asked for a handover at the start. */
  recoveryHosts: 16,
  /** A process tells the home of a key again that its request runs, in case the home has restarted. */
  refreshMs: 60_000,
  /** Rarer work of a tick is done this often. */
  sweepMs: 1_000,
  /** A started process looks for a handover of its predecessor during this time. */
  recoveryMs: 10_000
} as const
