/** Limits of the frame protocol. */
export const frameLimits = {
  /** Protocol version in every frame. */
  version: 1,
  /** Bytes of the length prefix. */
  prefixBytes: 4,
  /** Largest frame body in bytes. */
  maxBodyBytes: 1_048_576,
  /** Largest frame body in bytes before the peer has proved the cluster key. */
  maxHandshakeBytes: 1_024,
  /** Time in ms for the whole handshake. */
  handshakeTimeoutMs: 2_000,
  /** Unsent bytes after which a connection counts as stuck and is closed. */
  maxBacklogBytes: 8_388_608
} as const
