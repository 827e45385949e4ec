/** Arrays of a block table, which can be transferred between threads without a copy. */
interface BlockTableData {
  /** Position of the first interval for each value of the upper 16 address bits, followed by the number of intervals. */
  readonly groupStarts: Uint32Array
  /** Lower 16 bits of the first address of each interval. */
  readonly intervalLows: Uint16Array
  /** Position in `siteNames` for each interval, or `noSite`. */
  readonly intervalSites: Uint16Array
  readonly siteNames: readonly string[]
  /** Number of prefixes from which the table was built. */
  readonly blockCount: number
}

/** Marks intervals that no block covers. */
const noSite = 0xffff

/**
 * Maps IPv4 addresses to sites. Addresses are stored as sorted intervals of 4 bytes each, grouped by their
 * upper 16 bits; a lookup is a binary search in one group.
 */
export class BlockTable {
  constructor (readonly data: BlockTableData) {}

  get blockCount (): number {
    return this.data.blockCount
  }

  get siteCount (): number {
    return this.data.siteNames.length
  }

  /** Total size of the arrays in bytes. */
  get byteLength (): number {
    const { groupStarts, intervalLows, intervalSites } = this.data
    return groupStarts.byteLength + intervalLows.byteLength + intervalSites.byteLength
  }

  /** Returns the site of an address given as an unsigned 32 bit integer. */
  findSite (address: number): string | undefined {
    const { groupStarts, intervalLows, intervalSites, siteNames } = this.data
    const group = address >>> 16
    const low = address & 0xffff
    // Each group starts with an interval at its first address, so the search always finds one.
    let from = groupStarts[group]!
    let to = groupStarts[group + 1]!
    while (to - from > 1) {
      const middle = (from + to) >>> 1
      if (intervalLows[middle]! <= low) from = middle
      else to = middle
    }
    const site = intervalSites[from]!
    return site === noSite ? undefined : siteNames[site]
  }
}
