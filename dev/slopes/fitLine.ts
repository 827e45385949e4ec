/** A straight line through measured points. */
interface LineFit {
  readonly slope: number
  readonly intercept: number
  /** Coefficient of determination: the share of the variance that the line explains, 0 to 1. */
  readonly r2: number
}

/** Fits a line by least squares; needs at least two different sizes. */
export function fitLine (points: readonly { readonly size: number, readonly value: number }[]): LineFit {
  const meanSize = mean(points.map(({ size }) => size))
  const meanValue = mean(points.map(({ value }) => value))
  const sizeVariance = sum(points.map(({ size }) => (size - meanSize) ** 2))
  const valueVariance = sum(points.map(({ value }) => (value - meanValue) ** 2))
  const slope = sum(points.map(({ size, value }) => (size - meanSize) * (value - meanValue))) / sizeVariance
  const intercept = meanValue - slope * meanSize
  const residual = sum(points.map(({ size, value }) => (value - intercept - slope * size) ** 2))
  return { slope, intercept, r2: valueVariance === 0 ? 1 : 1 - residual / valueVariance }
}

function sum (values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0)
}

function mean (values: readonly number[]): number {
  return sum(values) / values.length
}
