import { test } from 'node:test'
import { expect } from 'earl'
import { ClaimService } from '../../src/claim/ClaimService.js'
import type { ConfigDoc } from '../../src/model/ConfigDoc.js'
import { createDoc, findDelayMs, hostNames } from '../model/createDoc.js'
import { createRandom } from '../model/createRandom.js'
import { SimulatedNetwork } from '../model/SimulatedNetwork.js'

type Claimed = Awaited<ReturnType<ClaimService['claim']>>

class Cluster {
  readonly net = new SimulatedNetwork(createRandom(1), findDelayMs)
  readonly services = new Map<string, ClaimService>()
  doc: ConfigDoc = createDoc()

  start (name: string, incarnation: number): ClaimService {
    let started: ClaimService | undefined
    this.net.start({ name, role: 'entry', incarnation }, (messenger) => {
      started = new ClaimService({ host: name, incarnation, clock: this.net.clock, messenger })
      started.setConfig(this.doc)
      this.services.set(name, started)
      return started
    })
    return started!
  }

  async claim (host: string, key: string, fingerprint = 'f'): Promise<Claimed> {
    const deadlineAtMs = this.net.nowMs + 5_000
    return await this.net.waitFor(this.services.get(host)!.claim({ customer: 'gyms', key, fingerprint, deadlineAtMs }), 9_000)
  }

  async stop (host: string): Promise<boolean> {
    const handedOver = await this.net.waitFor(this.services.get(host)!.prepareStop(), 9_000)
    this.net.crash(host)
    return handedOver
  }
}

async function startCluster (settleMs = 0): Promise<Cluster> {
  const cluster = new Cluster()
  for (const name of hostNames) cluster.start(name, 1)
  await cluster.net.advance(settleMs, undefined, 1_000)
  return cluster
}

const answer = { status: 201, headers: { 'content-type': 'text/plain' }, body: new Uint8Array([1, 2, 3]) }

function describe (claimed: Claimed): string {
  return claimed.isOk() ? claimed.value.kind : `${claimed.error.name} ${claimed.error.outcome}`
}

function expectGranted (claimed: Claimed) {
  const value = claimed._unsafeUnwrap()
  if (value.kind !== 'granted') throw new Error(`the claim is ${value.kind}`)
  return value.claim
}

// Guards against a second run of a settled key, and against replaying a request with another body.
test('a settled key is replayed, another fingerprint is a mismatch', async () => {
  const cluster = await startCluster()
  expectGranted(await cluster.claim('f1', 'a1.1.order')).settleDone(answer)
  await cluster.net.advance(200)
  const replay = (await cluster.claim('c1', 'a1.1.order'))._unsafeUnwrap()
  expect(replay).toEqual({ kind: 'done', answer })
  expect(describe(await cluster.claim('c1', 'a1.1.order', 'other'))).toEqual('keyMismatch unknown')
})

// Guards against treating the same key of two customers as one.
test('keys of different customers are independent', async () => {
  const cluster = await startCluster()
  expectGranted(await cluster.claim('a1', 'a1.1.x')).settleUnknown()
  let kind = ''
  cluster.services.get('a1')!.claim({ customer: 'clubs', key: 'a1.1.x', fingerprint: 'f', deadlineAtMs: 9_000 }).then((claimed) => { kind = describe(claimed) })
  await cluster.net.advance(200)
  expect(kind).toEqual('granted')
})

// Guards against a second run when a caller repeats a request at another host while the first one still runs.
test('a repeated request waits for the running one', async () => {
  const cluster = await startCluster()
  const claim = expectGranted(await cluster.claim('c1', 'a1.1.x'))
  const kinds: string[] = []
  for (const host of ['c1', 'f1']) {
    cluster.services.get(host)!.claim({ customer: 'gyms', key: 'a1.1.x', fingerprint: 'f', deadlineAtMs: 9_000 }).then((claimed) => kinds.push(describe(claimed)))
  }
  await cluster.net.advance(3_000)
  expect(kinds).toEqual([])
  claim.settleDone(answer)
  await cluster.net.advance(200)
  expect(kinds).toEqual(['done', 'done'])
})

// Guards against refusing a key for ever after an attempt that certainly did not run.
test('a key that was not run can be claimed again', async () => {
  const cluster = await startCluster()
  expectGranted(await cluster.claim('c1', 'a1.1.x')).settleNotRun()
  await cluster.net.advance(100)
  expect(describe(await cluster.claim('f1', 'a1.1.x'))).toEqual('granted')
})

// Guards against a host that is suspended after it got a claim and sends the request much later.
test('a claim can be used for 2 s', async () => {
  const cluster = await startCluster()
  const claim = expectGranted(await cluster.claim('f1', 'a1.1.x'))
  await cluster.net.advance(1_800)
  expect(claim.isUsable()).toEqual(true)
  await cluster.net.advance(150)
  expect(claim.isUsable()).toEqual(false)
})

// Guards against running a key again after its home has lost its records in a restart.
test('keys of a restarted home are unknown', async () => {
  const cluster = await startCluster(700_000)
  const hashed = findHashedKey(cluster, 'a1')
  expectGranted(await cluster.claim('c1', 'a1.1.x'))
  expect(describe(await cluster.claim('c1', hashed))).toEqual('granted')
  cluster.net.crash('a1')
  cluster.start('a1', 2)
  await cluster.net.advance(100)
  expect(describe(await cluster.claim('f1', 'a1.1.x'))).toEqual('keyUnknown unknown')
  expect(describe(await cluster.claim('f1', 'a1.1.new'))).toEqual('keyHomeGone unknown')
  expect(describe(await cluster.claim('f1', `${hashed}2`))).toEqual('keyUnknown unknown')
  expect(describe(await cluster.claim('f1', 'a1.2.new'))).toEqual('granted')
})

// Guards against losing stored answers when the home fails.
test('the witness replays the answer when the home is down', async () => {
  const cluster = await startCluster()
  expectGranted(await cluster.claim('c1', 'a1.1.x')).settleDone(answer)
  await cluster.net.advance(200)
  cluster.net.crash('a1')
  expect((await cluster.claim('f1', 'a1.1.x'))._unsafeUnwrap()).toEqual({ kind: 'done', answer })
  expect(describe(await cluster.claim('f1', 'a1.1.y'))).toEqual('keyHomeUnreachable unknown')
})

// Guards against a planned restart that makes keys unknown, and against a handover that two processes load.
test('a complete handover is recovered once', async () => {
  const cluster = await startCluster(700_000)
  const hashed = findHashedKey(cluster, 'a1')
  expectGranted(await cluster.claim('c1', hashed)).settleDone(answer)
  await cluster.net.advance(100)
  expect(await cluster.stop('a1')).toEqual(true)
  cluster.start('a1', 2)
  await cluster.net.advance(500)
  expect(describe(await cluster.claim('f1', hashed))).toEqual('done')
  expect(describe(await cluster.claim('f1', `${findHashedKey(cluster, 'a1', 1_000)}`))).toEqual('granted')
  cluster.net.crash('a1')
  cluster.start('a1', 3)
  await cluster.net.advance(500)
  expect(describe(await cluster.claim('f1', findHashedKey(cluster, 'a1', 2_000)))).toEqual('keyUnknown unknown')
})

// Guards against an order that runs twice since the processes before and after a planned restart of its home both grant it.
test('a running key is not granted again around the handover of its home', async () => {
  for (const settleStep of [0, 1, 2, 3]) {
    const cluster = await startCluster(700_000)
    const key = findHashedKey(cluster, 'a1')
    const running = expectGranted(await cluster.claim('c1', key))
    const kinds: string[] = []
    const steps = [
      async () => { await cluster.stop('a1') },
      async () => { cluster.start('a1', 2) },
      async () => { await cluster.net.advance(500) }
    ]
    for (let step = 0; step <= steps.length; step++) {
      const request = { customer: 'gyms', key, fingerprint: 'f', deadlineAtMs: cluster.net.nowMs + 5_000 }
      for (const host of ['f1', 'c1']) cluster.services.get(host)!.claim(request).then((claimed) => kinds.push(describe(claimed)))
      if (step === settleStep) running.settleDone(answer)
      await steps[step]?.()
    }
    await cluster.net.advance(6_000)
    expect([kinds.length, kinds.filter((kind) => kind === 'granted')]).toEqual([8, []])
    expect(describe(await cluster.claim('f1', key))).toEqual('done')
  }
})

// Guards against running a key at its new home while its former home still has a record of it.
test('a key whose home moved is unknown for the retention time', async () => {
  const cluster = await startCluster(700_000)
  const moved = findHashedKey(cluster, 'a1')
  expectGranted(await cluster.claim('c1', moved)).settleDone(undefined)
  cluster.doc = createDoc({ version: 2, hosts: cluster.doc.hosts.filter(({ name }) => name !== 'a1') })
  for (const service of cluster.services.values()) service.setConfig(cluster.doc)
  expect(describe(await cluster.claim('c1', moved))).toEqual('keyUnknown unknown')
})

// Guards against keys that corrupt headers or logs, or that take up too much space in the tables.
test('malformed keys are refused', async () => {
  const cluster = await startCluster()
  for (const key of ['', 'a'.repeat(201), 'a\nb', 'ä']) expect(describe(await cluster.claim('a1', key))).toEqual('badIdempotencyKey not-run')
})

/** Finds a key that hashes to `home`, also when a "2" is appended. */
function findHashedKey (cluster: Cluster, home: string, from = 0): string {
  for (let number = from; ; number += 1) {
    const key = `order-${number}`
    if (cluster.services.get(home)!.isHomeOf('gyms', key) && cluster.services.get(home)!.isHomeOf('gyms', `${key}2`)) return key
  }
}

// Guards against a new deployment that refuses every hashed key for the retention time.
test('at the first start of a deployment the records are complete', async () => {
  const cluster = await startCluster()
  const claimed = async (): Promise<string> => describe(await cluster.claim('a1', `k${cluster.net.nowMs}`))
  const before = await claimed()
  for (const service of cluster.services.values()) {
    service.setView({ seq: 1, contactAgeMs: 0, configVersion: 0, isFirstStart: true, members: [], leavingEndpoints: [], leavingHosts: [] })
  }
  expect([before, await claimed()]).toEqual(['keyUnknown unknown', 'granted'])
})

// Guards against the outcome 'unknown' for a new key that its own home refuses, and 'not-run' for a key that has run.
test('the home of a bound key reports whether it was granted', async () => {
  const cluster = await startCluster()
  const service = cluster.services.get('a1')!
  const isUnused = (key: string): boolean => service.isCertainlyNotRun('gyms', key)
  const before = isUnused('a1.1.k')
  expectGranted(await cluster.claim('a1', 'a1.1.k')).settleDone(answer)
  expect([before, isUnused('a1.1.k'), isUnused('a1.0.k'), isUnused('a2.1.k'), isUnused('plain')]).toEqual([true, false, false, false, false])
})
