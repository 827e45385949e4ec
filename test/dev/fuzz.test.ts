import { test } from 'node:test'
import { expect } from 'earl'
import * as fc from 'fast-check'
import { createFuzzEdges } from '../../dev/fuzz/createFuzzEdges.js'
import { FuzzEdge } from '../../dev/fuzz/FuzzEdge.js'
import { runFuzz } from '../../dev/fuzz/runFuzz.js'

const timeLimitMs = 6_000
const seed = 27

// Guards against bytes from outside that end a process, or reach code that can't bear them.
for (const edge of createFuzzEdges()) {
  test(`generated ${edge.name} break no promise`, async () => {
    const { runs, finding } = await runFuzz(edge, { seed, timeLimitMs, onLine: () => {} })
    expect([finding, runs > 20]).toEqual([undefined, true])
  })
}

/** An edge whose code fails for every number from 100 on. */
class BrokenFuzzEdge extends FuzzEdge<number> {
  override readonly name = 'broken'
  override readonly inputs = fc.nat(1_000)

  override async check (input: number): Promise<void> {
    if (input >= 100) throw new Error('planted')
  }
}

// Guards against a fuzzer that finds nothing, or doesn't shrink what it finds.
test('a planted fault is found and shrunk', async () => {
  const { finding } = await runFuzz(new BrokenFuzzEdge(), { seed, timeLimitMs, onLine: () => {} })
  expect(finding).toEqual('input=100 cause="Error: planted"')
})
