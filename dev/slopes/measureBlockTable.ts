import { createWriteStream, mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { Readable } from 'node:stream'
import { pipeline } from 'node:stream/promises'
import type { BlockTable } from '../../src/lookup/BlockTable.js'
import { loadBlockTable } from '../../src/lookup/loadBlockTable.js'
import { parseBlockLine } from '../../src/lookup/parseBlockLine.js'
import { createBlockLines } from './createBlockLines.js'
import type { SlopeSeries } from './SlopeSeries.js'

/** Numbers of blocks; the largest is the target size in section 1.3 of the design. */
const defaultSizes = [50_000, 500_000, 4_700_000]

/** Number of distinct addresses to look up, too many to stay in the processor's cache. */
const addressCount = 2 ** 20

const lookupCount = 10_000_000

/** Measures the block table: bytes per block, time to read the file and build the table, lookups per second on one core. */
export async function measureBlockTable (sizes: readonly number[] = defaultSizes): Promise<SlopeSeries[]> {
  const rows = []
  for (const size of sizes) rows.push(await measureSize(size))
  return [
    { name: 'block table memory', unit: 'bytes per block', points: rows.map(({ size, bytesPerBlock }) => ({ size, value: bytesPerBlock })) },
    { name: 'block table build', unit: 'ms', points: rows.map(({ size, buildMs }) => ({ size, value: buildMs })) },
    { name: 'block table lookups', unit: 'per s and core', points: rows.map(({ size, perSecond }) => ({ size, value: perSecond })) }
  ]
}

async function measureSize (size: number): Promise<{ size: number, bytesPerBlock: number, buildMs: number, perSecond: number }> {
  const folder = mkdtempSync(join(tmpdir(), 'slopes-'))
  const file = join(folder, 'blocks')
  try {
    await pipeline(Readable.from(createChunks(size)), createWriteStream(file))
    const startMs = performance.now()
    const result = await loadBlockTable(file)
    if (result.isErr()) throw new Error(result.error)
    const buildMs = performance.now() - startMs
    return { size, bytesPerBlock: result.value.byteLength / size, buildMs, perSecond: measureLookupsPerSecond(result.value, size) }
  } finally {
    rmSync(folder, { recursive: true })
  }
}

function * createChunks (size: number): Generator<string> {
  const linesPerChunk = 10_000
  let lines: string[] = []
  for (const line of createBlockLines(size)) {
    lines.push(line)
    if (lines.length < linesPerChunk) continue
    yield `${lines.join('\n')}\n`
    lines = []
  }
  yield `${lines.join('\n')}\n`
}

function measureLookupsPerSecond (table: BlockTable, size: number): number {
  const addresses = pickAddresses(size)
  let found = 0
  const startMs = performance.now()
  for (let index = 0; index < lookupCount; index++) {
    if (table.findSite(addresses[index % addressCount]!) !== undefined) found += 1
  }
  const elapsedMs = performance.now() - startMs
  if (found !== lookupCount) throw new Error(`${lookupCount - found} addresses were not found`)
  return lookupCount / elapsedMs * 1_000
}

/** Returns addresses inside blocks, with large strides between successive ones, so that lookups cover the whole table. */
function pickAddresses (size: number): Uint32Array {
  const starts = new Uint32Array(size)
  let count = 0
  for (const line of createBlockLines(size)) starts[count++] = parseBlockLine(line)._unsafeUnwrap()!.start
  const stride = 104_729
  return Uint32Array.from({ length: addressCount }, (_, index) => starts[index * stride % size]! + 3)
}
