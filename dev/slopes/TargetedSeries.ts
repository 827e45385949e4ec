/** A quantity measured at several sizes, and the target size to which the fitted line is extrapolated. */
export interface TargetedSeries {
  readonly name: string
  readonly points: readonly { readonly size: number, readonly value: number }[]
  readonly target: number
  readonly unit: string
}
