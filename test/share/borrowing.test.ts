import { test } from 'node:test'
import { expect } from 'earl'
import type { ConfigDoc } from '../../src/model/ConfigDoc.js'
import { ShareService } from '../../src/share/ShareService.js'
import { createRandom } from '../model/createRandom.js'
import { createDoc, findDelayMs } from '../model/createDoc.js'
import { SimNet } from '../model/SimNet.js'

interface Cluster {
  readonly net: SimNet
  readonly services: Map<string, ShareService>
}

async function startCluster (doc: ConfigDoc): Promise<Cluster> {
  const net = new SimNet(createRandom(1), findDelayMs)
  const services = new Map<string, ShareService>()
  for (const { name } of doc.hosts) {
    net.start({ name, role: 'entry', incarnation: 1 }, (messenger) => {
      const service = new ShareService({ host: name, incarnation: 1, clock: net.clock, messenger })
      service.setConfig(doc)
      services.set(name, service)
      return service
    })
  }
  await net.advance(20_000)
  return { net, services }
}

interface Counts { admitted: number, refused: number, waitMs: number[] }

/** Sends `count` requests at once to one host; admitted ones are served for `serviceMs`. */
function send ({ net, services }: Cluster, host: string, counts: Counts, count = 1, serviceMs = 50): void {
  for (let index = 0; index < count; index += 1) {
    const startMs = net.nowMs
    const request = { customer: 'gyms', workClass: 'interactive', deadlineAtMs: startMs + 8_000, signal: new AbortController().signal } as const
    services.get(host)!.admit(request).then((result) => {
      if (result.isErr()) {
        counts.refused += 1
        return
      }
      counts.admitted += 1
      counts.waitMs.push(net.nowMs - startMs)
      releases.push({ atMs: net.nowMs + serviceMs, run: () => result.value.release() })
    })
  }
}

const releases: { atMs: number, run: () => void }[] = []

function releaseDue (nowMs: number): void {
  for (let index = releases.length - 1; index >= 0; index -= 1) {
    if (releases[index]!.atMs <= nowMs) releases.splice(index, 1)[0]!.run()
  }
}

// Guards against a split cap that leaves most of it unused when all callers use one host.
test('one host gets the whole cap', async () => {
  const cluster = await startCluster(createDoc())
  const { net } = cluster
  const early: Counts = { admitted: 0, refused: 0, waitMs: [] }
  const late: Counts = { admitted: 0, refused: 0, waitMs: [] }
  const startMs = net.nowMs
  let sent = 0
  await net.advance(12_000, () => {
    releaseDue(net.nowMs)
    for (; sent < (net.nowMs - startMs) * 0.14; sent += 1) send(cluster, 'a1', net.nowMs - startMs < 2_000 ? early : late)
  })
  expect(late.admitted / (120 * 10)).toBeGreaterThanOrEqual(0.95)
})

// Guards against refusing a burst below the cap only because each host holds a small part of it.
test('a small burst waits for a loan', async () => {
  const cluster = await startCluster(createDoc())
  const { net } = cluster
  const counts: Counts = { admitted: 0, refused: 0, waitMs: [] }
  send(cluster, 'c1', counts, 36, 200)
  await net.advance(1_500, () => releaseDue(net.nowMs))
  expect([counts.admitted, counts.refused]).toEqual([36, 0])
})
