/** One measured value. */
export interface Measurement {
  readonly name: string
  readonly value: number
  readonly unit: string
}
