/** Intervals and limits of the membership protocol. */
export const membershipTimes = {
  /** Interval between two heartbeat rounds. */
  heartbeatMs: 500,
  /** Shortest interval between two frames to a peer that carry no urgent change. */
  gossipIntervalMs: 250,
  /** Delay during which urgent changes are batched into one frame. */
  urgentMs: 15,
  /** Time without an acknowledgement after which indirect probes start; the helpers have until `suspectMs` to finish them. */
  probeMs: 1_000,
  /** Time without a frame or a successful indirect probe after which a host becomes suspect. */
  suspectMs: 1_500,
  /** Time without refutation after which a suspect host becomes dead. */
  deadMs: 3_000,
  /** Flap damping: time that a host stays suspect after its second flap; doubled with each further flap. */
  flapDampingMs: 2_000,
  maxFlapDampingMs: 30_000,
  /** Time without a flap after which the flap counter resets. */
  flapResetMs: 120_000,
  /** Largest number of ring neighbours in the own zone. */
  maxNeighbours: 8,
  /** Largest number of helpers for one indirect probe. */
  maxHelpers: 3,
  /** Largest number of rows in a summary, by which a peer detects rows that the sender has missed. */
  summaryRows: 64,
  /** Largest estimated size of the member rows in one frame; keeps frames well below the frame size limit. */
  maxRowBytes: 262_144,
  /** Digests with load changes only that one host may receive per second, whatever the number of hosts. */
  loadDigestsPerSecond: 28,
  /** Largest number of rows in the member table. */
  maxRows: 20_000
} as const
