/** Limits of the data path that are not settings. */
export const entryLimits = {
  /** Maximum duration of a request in ms; permit loans rely on it. */
  maxRequestMs: 900_000,
  /** Bodies and responses up to this many bytes are buffered completely, so that an attempt can be repeated. */
  maxBufferedBytes: 65_536,
  /** Number of chunks of a buffered response above which the attempt fails; each chunk costs processor time however small it is. */
  maxBufferedChunks: 8_192,
  /** Maximum number of bytes of a response beside the buffered part of its body; more than its interim responses and headers can have. */
  maxFramingBytes: 524_288,
  /** Largest number of bytes of responses that callers have not taken yet, on all connections together; hosts have a few hundred MB. */
  maxUnsentBytes: 67_108_864,
  /** Maximum number of interim responses (1xx) to one request. */
  maxInterimResponses: 16,
  /** Number of refused requests on one connection after which it is closed. */
  maxRefusedIds: 32,
  /** Maximum time in ms between body bytes; then the request fails as too slow. */
  bodyIdleMs: 10_000,
  /** Maximum time in ms to connect to an endpoint or owning host. */
  connectTimeoutMs: 1_000,
  /** Maximum number of attempts for one request, not counting hedges. */
  maxAttempts: 4,
  /** Time in ms from the claim request during which the claim may be used. */
  claimValidMs: 2_000,
  /** Maximum number of open requests on one connection; a pipelined request beyond it is not read, and the connection ends. */
  maxPipelinedRequests: 16,
  /** Bytes of responses waiting for their turn on one connection from which on further requests are held; as in Node.js. */
  maxWaitingBytes: 16_384,
  /** Maximum number of requests that are read and held on one connection; one beyond it is not read, and the connection ends. */
  maxHeldRequests: 32,
  /** Time in ms and number of bytes for which an unread body is discarded after a response, so that the caller can read the response. */
  lingerMs: 1_000,
  maxLingerBytes: 1_048_576,
  /** Difference in ms between the wall clocks of two hosts that is allowed for when the age of a claim is taken from them. */
  maxClockDifferenceMs: 200,
  /** Maximum difference in ms between the time in the signature of an internal request and the local clock. */
  maxSignatureAgeMs: 30_000
} as const
