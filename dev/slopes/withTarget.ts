import type { Slope } from './Slope.js'
import type { SlopeSeries } from './SlopeSeries.js'

/** Adds the size at which the fitted line is read, and makes the name one word. */
export function withTarget (series: readonly SlopeSeries[], target: number): Slope[] {
  return series.map(({ name, unit, points }) => ({ name: toWord(name), unit: toWord(unit), points, target }))
}

function toWord (text: string): string {
  return text.replaceAll(/[\s-]+/g, '_')
}
