import { mkdtempSync, renameSync, writeFileSync } from 'node:fs'
import { once } from 'node:events'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { test } from 'node:test'
import { expect } from 'earl'
import { SystemClock } from '../../src/common/SystemClock.js'
import fc from 'fast-check'
import { BlockFile } from '../../src/lookup/BlockFile.js'
import { BlockTableBuilder } from '../../src/lookup/BlockTableBuilder.js'
import { formatAddress } from '../../src/lookup/formatAddress.js'
import { parseAddress } from '../../src/lookup/parseAddress.js'
import { parseBlockLine } from '../../src/lookup/parseBlockLine.js'
import { readBlockFile } from '../../src/lookup/readBlockFile.js'

const folder = mkdtempSync(join(tmpdir(), 'blocks-'))

// Guards against wrong sites at the boundaries of nested, adjacent and large blocks.
test('the table agrees with a linear search over all prefixes', () => {
  // Addresses with few distinct bits produce nested and adjacent blocks.
  const block = fc.tuple(fc.constantFrom(0, 1, 6, 7, 8, 14, 15, 16, 17, 24, 30, 31, 32), fc.nat(0xffffffff), fc.nat(4)).map(([length, bits, site]) => {
    const size = 2 ** (32 - length)
    const address = (bits & 0x81018101) >>> 0
    return { start: Math.floor(address / size) * size, length, site: `s${site}` }
  })
  fc.assert(fc.property(fc.uniqueArray(block, { selector: ({ start, length }) => `${start}/${length}`, maxLength: 30 }), fc.array(fc.nat(0xffffffff), { maxLength: 20 }), (blocks, extra) => {
    const builder = new BlockTableBuilder()
    for (const { start, length, site } of blocks) builder.add(start, length, site)
    const table = builder.build()._unsafeUnwrap()
    const edges = blocks.flatMap(({ start, length }) => [start - 1, start, start + 2 ** (32 - length) - 1, start + 2 ** (32 - length)])
    for (const address of [...edges, ...extra].filter((value) => value >= 0 && value < 2 ** 32)) {
      const covering = blocks.filter(({ start, length }) => address >= start && address < start + 2 ** (32 - length))
      const expected = covering.sort((a, b) => b.length - a.length)[0]?.site
      if (table.findSite(address) !== expected) throw new Error(`${formatAddress(address)}: ${table.findSite(address)} instead of ${expected}`)
    }
  }), { seed: 3, numRuns: 500 })
})

// Guards against addresses that are changed by parsing.
test('formatted addresses are parsed to the same address', () => {
  fc.assert(fc.property(fc.nat(0xffffffff), (address) => {
    expect(parseAddress(formatAddress(address))).toEqual(address)
    expect(parseAddress(`::ffff:${formatAddress(address)}`)).toEqual(address)
  }), { seed: 4 })
  expect(['::1', '1.2.3', '1.2.3.256', 'x', ''].map(parseAddress)).toEqual([undefined, undefined, undefined, undefined, undefined])
})

// Guards against crashes on invalid lines, and against lines that are parsed to a wrong block.
test('invalid block lines are rejected', () => {
  const refused = ['10.0.0.0/33 a', '10.0.0.1/24 a', '10.0.0.0/24', '10.0.0.0/24 a b', '300.0.0.0/8 a', '10.0.0.0/8 é', 'a/8 b']
  for (const line of refused) expect(parseBlockLine(line).isErr()).toEqual(true)
  expect(parseBlockLine('10.1.0.0/16\tnorth-a\r')._unsafeUnwrap()).toEqual({ start: 0x0a010000, prefixLength: 16, site: 'north-a' })
  expect(parseBlockLine('# comment')._unsafeUnwrap()).toEqual(undefined)
  fc.assert(fc.property(fc.oneof(fc.string(), fc.tuple(fc.ipV4(), fc.nat(99), fc.string()).map(([ip, length, site]) => `${ip}/${length} ${site}`)), (line) => {
    const result = parseBlockLine(line)
    if (result.isErr()) expect(result.error.length).toBeGreaterThan(0)
  }), { seed: 5, numRuns: 2_000 })
})

// Guards against errors without a line number, and against lines that are split at the boundary of a read chunk.
test('a block file is read completely or rejected with the line number', async () => {
  const file = join(folder, 'many')
  const lines = Array.from({ length: 100_000 }, (_, index) => `${formatAddress(index * 256)}/24 site-${index % 700}`)
  writeFileSync(file, lines.join('\n'))
  const table = (await readBlockFile(file))._unsafeUnwrap()
  expect([table.blockCount, table.siteCount]).toEqual([100_000, 700])
  for (const index of [0, 1, 54_321, 99_999]) expect(table.findSite(index * 256 + 7)).toEqual(`site-${index % 700}`)
  writeFileSync(file, [...lines.slice(0, 60_000), 'oops', ...lines].join('\n'))
  expect((await readBlockFile(file))._unsafeUnwrapErr()).toInclude('many:60001: ')
  writeFileSync(file, '10.0.0.0/8 a\n10.0.0.0/8 b\n')
  expect((await readBlockFile(file))._unsafeUnwrapErr()).toInclude('block 10.0.0.0/8 has two sites')
  expect((await readBlockFile(join(folder, 'none')))._unsafeUnwrapErr()).toInclude('ENOENT')
})

// Guards against lookups that fail while a file changes, and against an invalid file that replaces a valid table.
test('a changed file replaces the table, an invalid one does not', async () => {
  const path = join(folder, 'watched')
  const replace = (text: string): void => {
    writeFileSync(`${path}.new`, text)
    renameSync(`${path}.new`, path)
  }
  replace('10.0.0.0/8 north\n')
  const file = new BlockFile(path, new SystemClock(), 50)
  file.start()
  await once(file, 'loaded')
  expect([file.findSite('10.1.2.3'), file.findSite('11.1.2.3'), file.findSite('fe80::1')]).toEqual(['north', undefined, undefined])
  replace('11.0.0.0/8 south\n')
  await once(file, 'loaded')
  expect([file.findSite('10.1.2.3'), file.findSite('11.1.2.3')]).toEqual([undefined, 'south'])
  replace('damaged\n')
  await once(file, 'failed')
  expect(file.findSite('11.1.2.3')).toEqual('south')
  file.stop()
})
