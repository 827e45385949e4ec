/** One measured value. */
export interface Measure {
  readonly name: string
  readonly value: number
  readonly unit: string
}
