/** Arrays of a block table, which can move between threads without a copy. */
interface BlockTableData {
  /** For each value of the first 16 address bits, the position of its first interval; one more marks the end. */
  readonly groupStarts: Uint32Array
  /** Last 16 bits of the first address of each interval. */
  readonly intervalLows: Uint16Array
  /** Position in `siteNames` for each interval, or `noSite`. */
  readonly intervalSites: Uint16Array
  readonly siteNames: readonly string[]
  /** Prefixes that the table was built from. */
  readonly blockCount: number
}

/** Site of addresses that no block covers. */
const noSite = 0xffff

/**
 * Maps IPv4 addresses to intervalSites. Addresses are kept as sorted intervals of 4 bytes each, grouped by their
 * first 16 bits; a look-up searches one group by halving.
 */
export class BlockTable {
  constructor (readonly data: BlockTableData) {}

  get blockCount (): number {
    return this.data.blockCount
  }

  get siteCount (): number {
    return this.data.siteNames.length
  }

  /** Bytes of the arrays. */
  get byteLength (): number {
    const { groupStarts, intervalLows, intervalSites } = this.data
    return groupStarts.byteLength + intervalLows.byteLength + intervalSites.byteLength
  }

  /** Returns the site of an address given as an unsigned 32 bit integer. */
  find (address: number): string | undefined {
    const { groupStarts, intervalLows, intervalSites, siteNames } = this.data
    const group = address >>> 16
    const low = address & 0xffff
    // Each group starts with an interval at its first address, so the result is never before `from`.
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
