/** Times and limits of membership; ms unless the name says otherwise. */
export const membershipTimes = {
  /** Time between two heartbeats to a peer. */
  heartbeatMs: 500,
  /** Least time between two frames to a peer that carry only load changes. */
  spreadMs: 250,
  /** Delay that gathers urgent changes into one frame. */
  urgentMs: 15,
  /** Silence after which other hosts are asked to probe; leaves them the time until `suspectMs`. */
  probeMs: 1_000,
  /** Silence after which a host is suspect. */
  suspectMs: 1_500,
  /** Time without refutation after which a suspect host is dead. */
  deadMs: 3_000,
  /** Hold after the second flap; doubled with each further one. */
  flapHoldMs: 2_000,
  maxFlapHoldMs: 30_000,
  /** Time without a flap after which earlier flaps are forgotten. */
  flapMemoryMs: 120_000,
  /** Largest number of neighbours in the own zone. */
  maxNeighbours: 8,
  /** Helpers that are asked for one indirect probe. */
  maxHelpers: 3,
  /** Rows in a summary that lets peers find rows that the sender missed. */
  summaryRows: 64,
  /** Estimated bytes of member rows in one frame; keeps frames well under the size limit. */
  maxRowBytes: 262_144,
  /** Load-only digests that may reach one host per second, whatever the number of hosts. */
  loadDigestsPerSecond: 28,
  /** Rows that the table holds at most. */
  maxRows: 20_000
} as const
