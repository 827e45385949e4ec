/** Points measured at several sizes, and the size at which the fitted line is read. */
export interface Slope {
  readonly name: string
  readonly points: readonly { readonly size: number, readonly value: number }[]
  readonly target: number
  readonly unit: string
}
