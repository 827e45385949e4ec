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
  // Guards against sums above the cap and keys that run twice, under crashes, pauses, partitions and lost, late and duplicate messages.
  test(`random faults, seed ${seed}`, async () => {
    const run = await runFaults({ seed })
    checkRun(run)
  })
}

// Guards against a sum above the lowered cap after all hosts have confirmed it, and above the old cap before.
test('a cap that is lowered under faults is respected', async () => {
  const options = { seed: 9, seconds: 12, crash: 0, pause: 0.1, cut: 0.2, drop: 0.05, load: 120, serviceMs: 300 }
  const run = new FaultRun({ doc: createDoc({ contracts: [contract] }), ...options })
  await run.start(30_000)
  await run.run()
  const lowered = createContract({ rate: 24, burst: 10, concurrency: 20, regionShare: 0.8, version: 2 })
  const prior = { ...contract, untilVersion: 2, hosts: run.doc.hosts.map(({ name }) => name) }
  run.distributeConfig(createDoc({ version: 2, contracts: [lowered], priorCaps: [prior] }), 2_000)
  for (let second = 0; second < 60 && !run.isSettled(); second += 1) await run.run(1)
  checkRun(run)
  expect(run.isSettled()).toEqual(true)
  await run.run(6)
  const admittedBefore = run.ledger.admitted
  run.ledger.setCap(24, 10, run.net.nowMs)
  await run.run(20)
  expect(run.ledger.admitted - admittedBefore).toBeLessThanOrEqual(24 * 20 + 10)
  expect(run.ledger.admitted - admittedBefore).toBeGreaterThan(200)
})
