import type { PeerRow } from './PeerRow.js'

/** Inputs of the choice besides the hosts. */
interface SourceChoice {
  /** Region of the host that chooses. */
  readonly region: string
  /** Hosts that served nothing lately or are being asked; they are left out while there are others. */
  readonly avoided: ReadonlySet<string>
  readonly random: () => number
}

/**
 * Chooses the host to fetch a table from. Hosts of the own region come first. Among them the choice is random in proportion to their
 * links: many hosts learn of a change at the same time, and a narrow link that serves them all delays each of them.
 */
export function chooseSource (sources: readonly PeerRow[], { region, avoided, random }: SourceChoice): PeerRow {
  const others = sources.filter((row) => !avoided.has(row.record.name))
  const usable = others.length > 0 ? others : sources
  const near = usable.filter((row) => row.record.region === region)
  return chooseByLink(near.length > 0 ? near : usable, random)
}

function chooseByLink (rows: readonly PeerRow[], random: () => number): PeerRow {
  const widths = readWidths(rows)
  let left = random() * widths.reduce((sum, width) => sum + width, 0)
  for (const [index, width] of widths.entries()) {
    left -= width
    if (left < 0) return rows[index]!
  }
  return rows.at(-1)!
}

/** Returns the bandwidth of each host's link; an unknown one counts as the narrowest known. */
function readWidths (rows: readonly PeerRow[]): number[] {
  const known = rows.map((row) => row.record.linkMbps).filter((mbps) => mbps > 0)
  const narrowest = known.length === 0 ? 1 : Math.min(...known)
  return rows.map((row) => row.record.linkMbps > 0 ? row.record.linkMbps : narrowest)
}
