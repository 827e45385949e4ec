import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { BlockTable } from './BlockTable.js'
import { formatAddress } from './formatAddress.js'

const maxSites = 32_767
const lengthFactor = 2 ** 15
const startFactor = lengthFactor * 64
const addressSpace = 2 ** 32
const highCount = 2 ** 16
const noSite = 0xffff

/** A block that covers the current address of the sweep. */
interface OpenBlock {
  readonly end: number
  readonly site: number
}

/** Collects blocks in any order and builds the table; a longer prefix takes precedence inside a shorter one. */
export class BlockTableBuilder {
  // A block is one number, start x 2^21 + prefix length x 2^15 + site (53 bits in all), so that a plain numeric
  // sort puts each block after the blocks around it.
  private packed = new Float64Array(1_024)
  private count = 0
  private readonly siteIds = new Map<string, number>()

  /**
   * Adds the block of `prefixLength` bits that starts at `start`.
   * @throws {RangeError} when there are more than 32,767 sites
   */
  add (start: number, prefixLength: number, site: string): void {
    if (this.count === this.packed.length) this.grow()
    this.packed[this.count] = start * startFactor + prefixLength * lengthFactor + this.ensureSite(site)
    this.count += 1
  }

  /** Fails with a message when a prefix stands there twice with different sites. */
  build (): Result<BlockTable, string> {
    const sorted = this.packed.subarray(0, this.count).sort()
    const intervals = new IntervalList(this.count)
    const open: OpenBlock[] = []
    let previous = -1
    for (const value of sorted) {
      const block = Math.floor(value / lengthFactor)
      const site = value % lengthFactor
      const start = Math.floor(block / 64)
      const prefixLength = block % 64
      if (block === previous) {
        if (open.at(-1)?.site === site) continue
        return err(`block ${formatAddress(start)}/${prefixLength} has two sites`)
      }
      previous = block
      closeBlocks(open, start, intervals)
      open.push({ end: start + 2 ** (32 - prefixLength), site })
      intervals.startAt(start, site)
    }
    closeBlocks(open, addressSpace, intervals)
    return ok(new BlockTable({ ...intervals.finish(), siteNames: [...this.siteIds.keys()], blockCount: this.count }))
  }

  private ensureSite (site: string): number {
    const known = this.siteIds.get(site)
    if (known !== undefined) return known
    if (this.siteIds.size >= maxSites) throw new RangeError(`more than ${maxSites} sites`)
    this.siteIds.set(site, this.siteIds.size)
    return this.siteIds.size - 1
  }

  private grow (): void {
    const larger = new Float64Array(this.packed.length * 2)
    larger.set(this.packed)
    this.packed = larger
  }
}

/** Ends the blocks that do not reach `address`; the block around each one continues behind it. */
function closeBlocks (open: OpenBlock[], address: number, intervals: IntervalList): void {
  for (let top = open.at(-1); top !== undefined && top.end <= address; top = open.at(-1)) {
    open.pop()
    if (top.end < addressSpace) intervals.startAt(top.end, open.at(-1)?.site ?? noSite)
  }
}

/** Intervals in ascending order, with one at the start of each group of addresses that share their first 16 bits. */
class IntervalList {
  private readonly firstOfHigh = new Uint32Array(highCount + 1)
  private readonly lows: Uint16Array
  private readonly sites: Uint16Array
  private count = 0
  private nextHigh = 0
  private site = noSite

  constructor (blockCount: number) {
    // A block starts at most one interval and ends at most one.
    this.lows = new Uint16Array(2 * blockCount + highCount)
    this.sites = new Uint16Array(2 * blockCount + highCount)
  }

  /** Starts an interval; one that starts at the same address as the last replaces it. */
  startAt (address: number, site: number): void {
    this.openGroups(address >>> 16)
    if (site === this.site) return
    const low = address & 0xffff
    if (this.lows[this.count - 1] === low) this.sites[this.count - 1] = site
    else this.append(low, site)
    this.site = site
  }

  finish (): { firstOfHigh: Uint32Array, lows: Uint16Array, sites: Uint16Array } {
    this.openGroups(highCount - 1)
    this.firstOfHigh[highCount] = this.count
    return { firstOfHigh: this.firstOfHigh, lows: this.lows.slice(0, this.count), sites: this.sites.slice(0, this.count) }
  }

  private openGroups (high: number): void {
    for (; this.nextHigh <= high; this.nextHigh++) {
      this.firstOfHigh[this.nextHigh] = this.count
      this.append(0, this.site)
    }
  }

  private append (low: number, site: number): void {
    this.lows[this.count] = low
    this.sites[this.count] = site
    this.count += 1
  }
}
