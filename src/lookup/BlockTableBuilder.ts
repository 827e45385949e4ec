import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { BlockTable } from './BlockTable.js'
import { formatAddress } from './formatAddress.js'

const maxSites = 32_767
const prefixLengthFactor = 2 ** 15
const startFactor = prefixLengthFactor * 64
const addressSpace = 2 ** 32
const groupCount = 2 ** 16
const noSite = 0xffff

/** A block that covers the current address while the sorted blocks are traversed. */
interface OpenBlock {
  readonly end: number
  readonly site: number
}

/** Collects blocks in any order and builds the table. The longest matching prefix determines the site of an address. */
export class BlockTableBuilder {
  // A block is packed into one number of 53 bits, start x 2^21 + prefix length x 2^15 + site, so that a numeric
  // sort places each block after the blocks that contain it.
  private packedBlocks = new Float64Array(1_024)
  private count = 0
  private readonly siteIds = new Map<string, number>()

  /**
   * Adds the block with the start address `start` and a prefix of `prefixLength` bits.
   * @throws {RangeError} when there are more than 32,767 sites
   */
  add (start: number, prefixLength: number, site: string): void {
    if (this.count === this.packedBlocks.length) this.growCapacity()
    this.packedBlocks[this.count] = start * startFactor + prefixLength * prefixLengthFactor + this.internSite(site)
    this.count += 1
  }

  /** Builds the table; fails with a message when a prefix was added with two different sites. */
  build (): Result<BlockTable, string> {
    const sorted = this.packedBlocks.subarray(0, this.count).sort()
    const intervals = new IntervalList(this.count)
    const openBlocks: OpenBlock[] = []
    let previous = -1
    for (const value of sorted) {
      const block = Math.floor(value / prefixLengthFactor)
      const site = value % prefixLengthFactor
      const start = Math.floor(block / 64)
      const prefixLength = block % 64
      if (block === previous) {
        if (openBlocks.at(-1)?.site === site) continue
        return err(`block ${formatAddress(start)}/${prefixLength} has two sites`)
      }
      previous = block
      closeEndedBlocks(openBlocks, start, intervals)
      openBlocks.push({ end: start + 2 ** (32 - prefixLength), site })
      intervals.startAt(start, site)
    }
    closeEndedBlocks(openBlocks, addressSpace, intervals)
    return ok(new BlockTable({ ...intervals.finish(), siteNames: [...this.siteIds.keys()], blockCount: this.count }))
  }

  private internSite (site: string): number {
    const existingId = this.siteIds.get(site)
    if (existingId !== undefined) return existingId
    if (this.siteIds.size >= maxSites) throw new RangeError(`more than ${maxSites} sites`)
    this.siteIds.set(site, this.siteIds.size)
    return this.siteIds.size - 1
  }

  private growCapacity (): void {
    const larger = new Float64Array(this.packedBlocks.length * 2)
    larger.set(this.packedBlocks)
    this.packedBlocks = larger
  }
}

/** Closes the blocks that end at or before `address`; after each of them, the block that contains it continues. */
function closeEndedBlocks (openBlocks: OpenBlock[], address: number, intervals: IntervalList): void {
  for (let innermost = openBlocks.at(-1); innermost !== undefined && innermost.end <= address; innermost = openBlocks.at(-1)) {
    openBlocks.pop()
    if (innermost.end < addressSpace) intervals.startAt(innermost.end, openBlocks.at(-1)?.site ?? noSite)
  }
}

/** Intervals in ascending order; each group of addresses with the same upper 16 bits starts with one. */
class IntervalList {
  private readonly groupStarts = new Uint32Array(groupCount + 1)
  private readonly intervalLows: Uint16Array
  private readonly intervalSites: Uint16Array
  private count = 0
  private nextGroup = 0
  private site = noSite

  constructor (blockCount: number) {
    // Each block adds at most two intervals: one at its start and one after its end.
    this.intervalLows = new Uint16Array(2 * blockCount + groupCount)
    this.intervalSites = new Uint16Array(2 * blockCount + groupCount)
  }

  /** Starts an interval; replaces the last one when both start at the same address. */
  startAt (address: number, site: number): void {
    this.startGroups(address >>> 16)
    if (site === this.site) return
    const low = address & 0xffff
    if (this.intervalLows[this.count - 1] === low) this.intervalSites[this.count - 1] = site
    else this.append(low, site)
    this.site = site
  }

  finish (): { groupStarts: Uint32Array, intervalLows: Uint16Array, intervalSites: Uint16Array } {
    this.startGroups(groupCount - 1)
    this.groupStarts[groupCount] = this.count
    return {
      groupStarts: this.groupStarts,
      intervalLows: this.intervalLows.slice(0, this.count),
      intervalSites: this.intervalSites.slice(0, this.count)
    }
  }

  private startGroups (lastGroup: number): void {
    for (; this.nextGroup <= lastGroup; this.nextGroup++) {
      this.groupStarts[this.nextGroup] = this.count
      this.append(0, this.site)
    }
  }

  private append (low: number, site: number): void {
    this.intervalLows[this.count] = low
    this.intervalSites[this.count] = site
    this.count += 1
  }
}
