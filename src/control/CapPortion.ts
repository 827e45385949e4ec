/** The fixed part of a customer's cap that one host holds. */
export interface CapPortion {
  readonly rate: number
  readonly burst: number
  readonly concurrency: number
  readonly uploadBytesPerSecond: number
}
