/** Measures of what both users look at besides latency. */
export interface OperationMetrics {
  /** Records the free share (0 to 1) of a service's usable slots at this host. */
  measuredHeadroom: (service: string, freeShare: number) => void
  /** Records how long a finished drain took. */
  drained: (kind: string, elapsedMs: number) => void
}
