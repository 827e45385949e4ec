/** A measured quantity at several sizes. */
export interface SlopeSeries {
  readonly name: string
  /** Unit of the values. */
  readonly unit: string
  readonly points: readonly { readonly size: number, readonly value: number }[]
}
