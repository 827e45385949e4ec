/** Limits of the frame protocol. */
export const frameLimits = {
  /** Protocol version, sent in every frame. */
  version: 1,
  /** Size of the length prefix in bytes. */
  prefixBytes: 4,
  /** Largest frame body in bytes. */
  maxBodyBytes: 1_048_576,
  /** Largest frame body in bytes until the peer is authenticated. */
  maxHandshakeBytes: 1_024,
  /** Timeout of the whole handshake in ms. */
  handshakeTimeoutMs: 2_000,
  /** Unsent bytes above which a connection counts as stalled and is closed. */
  maxBacklogBytes: 8_388_608
} as const
