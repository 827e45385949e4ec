import { test } from 'node:test'
import { expect } from 'earl'
import { createContract, createDoc } from './createDoc.js'
import { FaultRun, type FaultRunOptions } from './FaultRun.js'

const contract = createContract({ rate: 60, burst: 30, concurrency: 40, regionShare: 0.8 })
const settleMs = 620_000

async function runFaults (options: Partial<FaultRunOptions> & { seed: number }): Promise<FaultRun> {
  const run = new FaultRun({ doc: createDoc({ contracts: [contract] }), seconds: 40, crash: 0.1, pause: 0.2, cut: 0.2, drop: 0.05, load: 120, serviceMs: options.seed % 2 === 0 ? 300 : 2_500, ...options })
  await run.start(settleMs)
  await run.run()
  return run
}

function checkRun (run: FaultRun): void {
  expect(run.ledger.worstExcess).toBeLessThanOrEqual(1e-6)
  expect(run.ledger.worstInFlight).toBeLessThanOrEqual(contract.concurrency)
  expect([...run.keys].filter(([, { runs }]) => runs > 1)).toEqual([])
  expect([...run.keys].filter(([, { falseNotRun }]) => falseNotRun)).toEqual([])
}

for (const seed of [1, 2, 3, 4, 5, 6]) {
  // Guards against sums over the cap and keys that run twice, under crashes, pauses, cuts and lost, late and repeated messages.
  test(`random faults, seed ${seed}`, async () => {
    const run = await runFaults({ seed })
    checkRun(run)
  })
}
