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

// Guards against a split cap that leaves most of it unused when all callers use one host.
test('one host gets the whole cap', async () => {
  const cluster = await startCluster()
  await cluster.run(2_000, ['a1'], 140, 50)
  const before = cluster.admitted
  await cluster.run(10_000, ['a1'], 140, 50)
  expect((cluster.admitted - before) / 1_200).toBeGreaterThanOrEqual(0.95)
})

// Guards against refusing a burst below the cap only because each host holds a small part of it.
test('a small burst waits for a loan', async () => {
  const cluster = await startCluster()
  for (let count = 0; count < 36; count += 1) cluster.send('c1', 200)
  await cluster.run(1_500, [], 0, 0)
  expect([cluster.admitted, cluster.refused]).toEqual([36, 0])
})

// Guards against loans that move back and forth, so that two busy hosts together stay far below the cap.
test('two busy hosts share by demand', async () => {
  const cluster = await startCluster()
  await cluster.run(3_000, ['a1', 'f1'], 100, 50)
  const before = cluster.admitted
  await cluster.run(10_000, ['a1', 'f1'], 100, 50)
  expect((cluster.admitted - before) / 1_200).toBeGreaterThanOrEqual(0.95)
})

/** Lets `a1` borrow everything after all hosts have used their burst, so that any excess shows. */
async function lendAllTo (cluster: ShareCluster): Promise<void> {
  await cluster.run(20, hostNames, 1_000, 100)
  await cluster.run(2_500, ['a1'], 200, 100)
}

const rateContract = createContract({ concurrency: 200 })
const permitContract = createContract({ rate: 1_000, burst: 500, concurrency: 40 })

// Guards against a lender that resumes before the borrower has stopped.
test('a cut borrower and its lenders stay within the rate', async () => {
  const cluster = await startCluster(rateContract)
  await lendAllTo(cluster)
  cluster.setIsolated('a1')
  await cluster.run(8_000, hostNames, 200, 100)
  expect(cluster.ledger.worstExcess).toBeLessThanOrEqual(1e-6)
})

test('a cut borrower and its lenders stay within the permits', async () => {
  const cluster = await startCluster(permitContract)
  await cluster.run(2_500, ['a1'], 200, 7_500)
  expect(cluster.maxInFlight).toEqual(40)
  cluster.setIsolated('a1')
  await cluster.run(20_000, hostNames, 20, 7_500)
  expect(cluster.maxInFlight).toEqual(40)
})

// Guards against a lender that forgets its loans with its process.
test('restarted lenders stay within the rate', async () => {
  const cluster = await startCluster(rateContract)
  await lendAllTo(cluster)
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

// Guards against forgetting long permits that uploads at other hosts still use after the quarantine.
test('restarted lenders keep back long permits', async () => {
  const cluster = await startCluster(permitContract)
  await cluster.run(2_000, ['a1'], 30, 55_000, 60_000)
  cluster.setIsolated('a1')
  for (const name of others) cluster.crash(name)
  for (const name of others) cluster.startHost(name, 2)
  cluster.sendViews()
  await cluster.run(30_000, hostNames, 20, 500)
  expect(cluster.maxInFlight).toBeLessThanOrEqual(40)
})

// Guards against a host that resumes after a pause with loans that have ended.
test('a paused borrower stays within the rate', async () => {
  const cluster = await startCluster(rateContract)
  await lendAllTo(cluster)
  cluster.net.setPaused('a1', true)
  await cluster.run(5_000, others, 200, 100)
  cluster.net.setPaused('a1', false)
  await cluster.run(3_000, hostNames, 200, 100)
  expect(cluster.ledger.worstExcess).toBeLessThanOrEqual(1e-6)
})

// Guards against a restarted host that starts with the burst that its last process has used.
test('a restart brings no new burst', async () => {
  const cluster = await startCluster(rateContract)
  await cluster.run(20, hostNames, 1_000, 100)
  for (const name of hostNames) cluster.crash(name)
  for (const name of hostNames) cluster.startHost(name, 2)
  cluster.sendViews()
  await cluster.run(6_000, hostNames, 200, 100)
  expect(cluster.ledger.worstExcess).toBeLessThanOrEqual(1e-6)
})
