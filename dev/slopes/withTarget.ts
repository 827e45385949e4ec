import type { TargetedSeries } from './TargetedSeries.js'
import type { SlopeSeries } from './SlopeSeries.js'

/** Adds the target size, and converts names and units to snake case for the printed `key=value` line. */
export function withTarget (series: readonly SlopeSeries[], target: number): TargetedSeries[] {
  return series.map(({ name, unit, points }) => ({ name: toSnakeCase(name), unit: toSnakeCase(unit), points, target }))
}

function toSnakeCase (text: string): string {
  return text.replaceAll(/[\s-]+/g, '_')
}
