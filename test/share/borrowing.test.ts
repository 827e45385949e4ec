import { test } from 'node:test'
import { expect } from 'earl'
import { createContract, createDoc, hostNames } from '../model/createDoc.js'
import { ShareCluster } from './ShareCluster.js'

async function startCluster (contract = createContract()): Promise<ShareCluster> {
  const cluster = new ShareCluster(createDoc({ contracts: [contract] }))
  await cluster.start()
  return cluster
}

const others = hostNames.filter((name) => name !== 'a1')

// Guards against a split cap of which most stays unused when all callers use one host.
test('one host gets the whole cap', async () => {
  const cluster = await startCluster()
  await cluster.run(2_000, ['a1'], 140, 50)
  const before = cluster.admitted
  await cluster.run(10_000, ['a1'], 140, 50)
  expect((cluster.admitted - before) / 1_200).toBeGreaterThanOrEqual(0.95)
})

// Guards against refusing a burst within the cap because each host has only a small portion of it.
test('a small burst waits for a loan', async () => {
  const cluster = await startCluster()
  for (let count = 0; count < 36; count += 1) cluster.send('c1', 200)
  await cluster.run(1_500, [], 0, 0)
  expect([cluster.admitted, cluster.refused]).toEqual([36, 0])
})

// Guards against loans that oscillate between two busy hosts, which then stay far below the cap together.
test('two busy hosts share by demand', async () => {
  const cluster = await startCluster()
  await cluster.run(3_000, ['a1', 'f1'], 100, 50)
  const before = cluster.admitted
  await cluster.run(10_000, ['a1', 'f1'], 100, 50)
  expect((cluster.admitted - before) / 1_200).toBeGreaterThanOrEqual(0.95)
})

/** Makes `a1` borrow the whole cap after all hosts have used their burst, so that any excess becomes visible. */
async function lendWholeCapTo (cluster: ShareCluster): Promise<void> {
  await cluster.run(20, hostNames, 1_000, 100)
  await cluster.run(2_500, ['a1'], 200, 100)
}

const rateContract = createContract({ concurrency: 200 })
const permitContract = createContract({ rate: 1_000, burst: 500, concurrency: 40 })

// Guards against a lender that reuses a lent amount before the isolated borrower has stopped using it.
test('an isolated borrower and its lenders stay within the rate', async () => {
  const cluster = await startCluster(rateContract)
  await lendWholeCapTo(cluster)
  cluster.setIsolated('a1')
  await cluster.run(8_000, hostNames, 200, 100)
  expect(cluster.ledger.worstExcess).toBeLessThanOrEqual(1e-6)
})

test('an isolated borrower and its lenders stay within the permits', async () => {
  const cluster = await startCluster(permitContract)
  await cluster.run(2_500, ['a1'], 200, 7_500)
  expect(cluster.maxInFlight).toEqual(40)
  cluster.setIsolated('a1')
  await cluster.run(20_000, hostNames, 20, 7_500)
  expect(cluster.maxInFlight).toEqual(40)
})

// Guards against a restarted lender that uses what its earlier process had lent, since it has no record of the loans.
test('restarted lenders stay within the rate', async () => {
  const cluster = await startCluster(rateContract)
  await lendWholeCapTo(cluster)
  for (const name of others) cluster.crash(name)
  for (const name of others) cluster.startHost(name, 2)
  cluster.sendViews()
  await cluster.run(8_000, hostNames, 200, 100)
  expect(cluster.ledger.worstExcess).toBeLessThanOrEqual(1e-6)
})

test('restarted lenders stay within the permits', async () => {
  const cluster = await startCluster(permitContract)
  await cluster.run(2_500, ['a1'], 200, 7_500)
  expect(cluster.maxInFlight).toEqual(40)
  for (const name of others) cluster.crash(name)
  for (const name of others) cluster.startHost(name, 2)
  cluster.sendViews()
  await cluster.run(25_000, hostNames, 20, 7_500)
  expect(cluster.maxInFlight).toBeLessThanOrEqual(40)
})

// Guards against a restarted lender that uses long permits which uploads at other hosts still hold after the quarantine.
test('restarted lenders reserve long permits that are still in use', async () => {
  const cluster = await startCluster(permitContract)
  await cluster.run(2_000, ['a1'], 30, 55_000, 60_000)
  cluster.setIsolated('a1')
  for (const name of others) cluster.crash(name)
  for (const name of others) cluster.startHost(name, 2)
  cluster.sendViews()
  await cluster.run(30_000, hostNames, 20, 500)
  expect(cluster.maxInFlight).toBeLessThanOrEqual(40)
})

// Guards against a host that uses expired loans when its process resumes after a pause.
test('a paused borrower stays within the rate', async () => {
  const cluster = await startCluster(rateContract)
  await lendWholeCapTo(cluster)
  cluster.net.setPaused('a1', true)
  await cluster.run(5_000, others, 200, 100)
  cluster.net.setPaused('a1', false)
  await cluster.run(3_000, hostNames, 200, 100)
  expect(cluster.ledger.worstExcess).toBeLessThanOrEqual(1e-6)
})

// Guards against a restarted host that starts with a full burst although its earlier process has just used it.
test('a restart does not refill the burst', async () => {
  const cluster = await startCluster(rateContract)
  await cluster.run(20, hostNames, 1_000, 100)
  for (const name of hostNames) cluster.crash(name)
  for (const name of hostNames) cluster.startHost(name, 2)
  cluster.sendViews()
  await cluster.run(6_000, hostNames, 200, 100)
  expect(cluster.ledger.worstExcess).toBeLessThanOrEqual(1e-6)
})
