/** Metrics of spare capacity and drains. */
export interface OperationMetrics {
  /** Records the share (0 to 1) of the usable slots of a service at this host that are free. */
  measuredHeadroom: (service: string, freeShare: number) => void
  /** Records the duration of a completed drain. */
  drained: (kind: string, elapsedMs: number) => void
}
