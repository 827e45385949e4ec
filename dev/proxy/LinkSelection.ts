/** Selects the links that match all given fields; an empty selection matches all links. */
export interface LinkSelection {
  readonly source?: string
  readonly sourceZone?: string
  readonly sourceRegion?: string
  readonly target?: string
  readonly targetName?: string
  readonly targetKind?: 'host' | 'endpoint' | 'platform'
  readonly targetZone?: string
  readonly targetRegion?: string
}
