import { test } from 'node:test'
import { expect } from 'earl'
import fc from 'fast-check'
import { Logger } from '../../src/common/Logger.js'
import { SystemClock } from '../../src/common/SystemClock.js'
import { ConfigStore } from '../../src/control/ConfigStore.js'
import type { ConfigChange } from '../../src/control/ConfigChange.js'
import type { ConfigHead } from '../../src/control/ConfigHead.js'
import { ConfigHolder } from '../../src/control/ConfigHolder.js'
import { ConfigReader } from '../../src/control/ConfigReader.js'
import { ConfigWriter } from '../../src/control/ConfigWriter.js'
import type { HostReachability } from '../../src/control/HostReachability.js'
import { computePortions } from '../../src/share/computePortions.js'
import type { Contract } from '../../src/model/Contract.js'
import { MemoryPlatform } from './MemoryPlatform.js'
import { sampleContract } from './sampleContract.js'
import { sampleDeployment } from './sampleDeployment.js'

const hosts = ['a-1', 'a-2', 'b-1', 'c-1', 'd-1', 'e-1', 'f-1']
const load: ConfigChange = { kind: 'deployment', deployment: sampleDeployment(hosts), expectVersion: undefined, force: false }

class SilentLogger extends Logger {
  override debug (): void {}
  override info (): void {}
  override warn (): void {}
  override error (): void {}
}

/** A writer and a reader of one agent. */
class AgentHarness {
  readonly holder = new ConfigHolder()
  readonly writer: ConfigWriter
  readonly reader: ConfigReader
  reachability: HostReachability[] = hosts.map((host) => ({ host, reachable: true, appliedVersion: 1 }))
  leaving = new Set<string>()

  constructor (platform: MemoryPlatform, private readonly by: string, budgetMs = 1_000) {
    const store = new ConfigStore(platform.table, platform.objects)
    const common = { store, holder: this.holder, clock: new SystemClock(), log: new SilentLogger() }
    this.reader = new ConfigReader(common)
    this.writer = new ConfigWriter({
      ...common,
      budgetMs,
      getContext: () => ({ reachability: this.reachability, leavingEndpoints: this.leaving, computePortions }),
      onAccepted: () => {}
    })
  }

  async write (writeId: string, change: ConfigChange): ReturnType<ConfigWriter['write']> {
    return await this.writer.write({ writeId, by: this.by, change })
  }

  async put (writeId: string, changes: Partial<Contract>, expectVersion: number): ReturnType<ConfigWriter['write']> {
    return await this.write(writeId, { kind: 'putContract', contract: sampleContract(changes), expectVersion })
  }
}

async function createHarnesses (): Promise<{ platform: MemoryPlatform, anna: AgentHarness, joseph: AgentHarness }> {
  const platform = new MemoryPlatform()
  const anna = new AgentHarness(platform, 'anna')
  const joseph = new AgentHarness(platform, 'joseph')
  await anna.write('load', load).then((result) => result._unsafeUnwrap())
  await anna.put('first', {}, 0).then((result) => result._unsafeUnwrap())
  return { platform, anna, joseph }
}

function readHead (platform: MemoryPlatform): ConfigHead {
  return platform.rows.get('config/head')!.value as ConfigHead
}

// Guards against an operator who unknowingly overwrites a concurrent change of the same contract.
test('of two concurrent changes one fails with a conflict that names the other operator', async () => {
  const { platform, anna, joseph } = await createHarnesses()
  platform.beforeWrite = async () => { await joseph.put('j1', { rate: 90 }, 2).then((result) => result._unsafeUnwrap()) }
  const failure = (await anna.put('a1', { rate: 80 }, 2))._unsafeUnwrapErr()
  expect({ name: failure.name, outcome: failure.outcome }).toEqual({ name: 'contractConflict', outcome: 'not-run' })
  expect(failure.message.includes('operator "joseph" made the change "contract gyms: rate 70 -> 90" in configuration version 3')).toEqual(true)
})

// Guards against conflicts between concurrent changes of different contracts.
test('concurrent changes of different contracts are both accepted', async () => {
  const { platform, anna, joseph } = await createHarnesses()
  platform.beforeWrite = async () => { await joseph.put('j1', { customer: 'clubs' }, 0).then((result) => result._unsafeUnwrap()) }
  expect((await anna.put('a1', { rate: 80 }, 2))._unsafeUnwrap().version).toEqual(4)
  expect(anna.holder.held!.doc.contracts.map(({ customer, rate }) => `${customer} ${rate}`)).toEqual(['clubs 70', 'gyms 80'])
})

// Guards against a write that takes effect twice, or whose outcome is reported wrongly, after its response was lost.
test('the write id resolves the outcome of a write after a lost response', async () => {
  const { platform, anna } = await createHarnesses()
  platform.lostResponses = 1
  expect((await anna.put('a1', { rate: 80 }, 2))._unsafeUnwrap().version).toEqual(3)
  platform.lostRequests = 2
  expect((await anna.put('a2', { rate: 85 }, 3))._unsafeUnwrap().version).toEqual(4)
  expect((await anna.put('a2', { rate: 85 }, 3))._unsafeUnwrap().version).toEqual(4)
  expect(readHead(platform).log.map(({ writeId }) => writeId)).toEqual(['load', 'first', 'a1', 'a2'])
})

// Guards against an unconfirmed write that is reported as accepted or not-run too early.
test('an unconfirmed write is unknown until the head shows its outcome', async () => {
  const { platform, anna, joseph } = await createHarnesses()
  platform.lostRequests = 1_000
  const failure = (await anna.put('a1', { rate: 80 }, 2))._unsafeUnwrapErr()
  expect({ name: failure.name, outcome: failure.outcome }).toEqual({ name: 'writeUnknown', outcome: 'unknown' })
  expect((await anna.writer.findOutcome('a1'))._unsafeUnwrap().outcome).toEqual('unknown')
  platform.lostRequests = 0
  await joseph.put('j1', { rate: 90 }, 2).then((result) => result._unsafeUnwrap())
  expect((await anna.writer.findOutcome('a1'))._unsafeUnwrap().outcome).toEqual('not-run')
  expect((await joseph.writer.findOutcome('a1'))._unsafeUnwrap().outcome).toEqual('unknown')
  await anna.put('a2', { rate: 80 }, 2).then((result) => result._unsafeUnwrapErr())
  expect((await anna.writer.findOutcome('a2'))._unsafeUnwrap().outcome).toEqual('not-run')
  expect((await anna.writer.findOutcome('j1'))._unsafeUnwrap().outcome).toEqual('accepted')
})

// Guards against writes that are reported as not-run although they may have taken effect, or accepted without the platform.
test('a change is reported as not-run while the platform is unavailable', async () => {
  const { platform, anna } = await createHarnesses()
  platform.isDown = true
  const failure = (await anna.put('a1', { rate: 80 }, 2))._unsafeUnwrapErr()
  expect({ name: failure.name, outcome: failure.outcome }).toEqual({ name: 'platformUnavailable', outcome: 'not-run' })
})

// Guards against a restored backup or a foreign store that replaces a newer configuration.
test('a rolled back, foreign, forked or empty head is refused by reader and writer', async () => {
  const { platform, anna, joseph } = await createHarnesses()
  const backup = platform.rows.get('config/head')!
  await anna.put('a1', { rate: 80 }, 2).then((result) => result._unsafeUnwrap())
  const newest = readHead(platform)
  const faults = [
    backup,
    { version: 9, value: { ...newest, lineage: 'other' } },
    { version: 9, value: { ...newest, writeId: 'fork' } },
    { version: 9, value: 'nonsense' },
    undefined
  ]
  for (const row of faults) {
    if (row === undefined) platform.rows.delete('config/head')
    else platform.rows.set('config/head', row)
    expect((await anna.put('a2', { rate: 60 }, 3))._unsafeUnwrapErr().name).toEqual('configRolledBack')
    await anna.reader.poll()
    expect({ version: anna.holder.version, fault: anna.reader.fault?.name }).toEqual({ version: 3, fault: 'configRolledBack' })
  }
  // An agent that has only observed the announcement of the newer version refuses the backup as well.
  platform.rows.set('config/head', backup)
  joseph.holder.observeVersion(3)
  expect((await joseph.put('j1', { rate: 60 }, 2))._unsafeUnwrapErr().name).toEqual('configRolledBack')
  platform.rows.set('config/head', { version: 10, value: newest })
  expect((await anna.put('a2', { rate: 60 }, 3)).isOk()).toEqual(true)
})

// Guards against a lowered cap that unreachable hosts may exceed.
test('a cap below the portions of unreachable hosts is refused with the smallest possible cap', async () => {
  const { anna } = await createHarnesses()
  anna.reachability = anna.reachability.map((candidate) => candidate.host === 'b-1' || candidate.host === 'c-1'
    ? { ...candidate, reachable: false, appliedVersion: 2 }
    : { ...candidate, appliedVersion: 2 })
  const failure = (await anna.put('a1', { rate: 19 }, 2))._unsafeUnwrapErr()
  expect(failure.name).toEqual('capBelowUnreachable')
  expect(failure.message.includes('smallest rate that can be guaranteed for "gyms" now is 20, held by hosts that cannot be reached: b-1 (10), c-1 (10)')).toEqual(true)
  expect((await anna.put('a1', { rate: 20 }, 2)).isOk()).toEqual(true)
  // The hosts still apply the older version, so their portions have not shrunk.
  expect((await anna.put('a2', { rate: 19 }, 3))._unsafeUnwrapErr().name).toEqual('capBelowUnreachable')
  expect((await anna.put('a3', { rate: 50 }, 3)).isOk()).toEqual(true)
})

// Guards against prior caps that are removed while a host may still use them, or that are never removed.
test('prior caps are kept until every host has a later version in force', async () => {
  const { anna } = await createHarnesses()
  await anna.put('a1', { rate: 60 }, 2).then((result) => result._unsafeUnwrap())
  expect(anna.holder.held!.doc.priorCaps.map(({ untilVersion, rate, hosts: names }) => ({ untilVersion, rate, count: names.length }))).toEqual([{ untilVersion: 3, rate: 70, count: 7 }])
  anna.reachability = hosts.map((host) => ({ host, reachable: host !== 'f-1', appliedVersion: host === 'f-1' ? 2 : 3 }))
  await anna.put('a2', { rate: 65 }, 3).then((result) => result._unsafeUnwrap())
  expect(anna.holder.held!.doc.priorCaps.map(({ untilVersion }) => untilVersion)).toEqual([3, 4])
  anna.reachability = hosts.map((host) => ({ host, reachable: true, appliedVersion: 4 }))
  await anna.put('a3', { rate: 65, priority: 2 }, 4).then((result) => result._unsafeUnwrap())
  expect(anna.holder.held!.doc.priorCaps).toEqual([])
})

// Guards against removing a host that may still admit requests, and against changing the zone of a host.
test('unreachable hosts are removed only by force and hosts keep their zone', async () => {
  const { anna } = await createHarnesses()
  anna.reachability = anna.reachability.map((candidate) => ({ ...candidate, reachable: candidate.host !== 'f-1' }))
  const smaller: ConfigChange = { kind: 'deployment', deployment: sampleDeployment(hosts.slice(0, 6)), expectVersion: undefined, force: false }
  const endpointsKept = { ...smaller, deployment: { ...sampleDeployment(hosts), hosts: smaller.deployment.hosts } }
  expect((await anna.write('d1', endpointsKept))._unsafeUnwrapErr().name).toEqual('capBelowUnreachable')
  await anna.write('d2', { ...endpointsKept, force: true }).then((result) => result._unsafeUnwrap())
  expect(anna.holder.held!.doc.priorCaps.map(({ hosts: names }) => names.length)).toEqual([6])
  const moved = sampleDeployment(hosts).hosts.map((host) => host.name === 'a-2' ? { ...host, zone: 'b' } : host)
  const failure = (await anna.write('d3', { ...endpointsKept, deployment: { ...endpointsKept.deployment, hosts: moved } }))._unsafeUnwrapErr()
  expect(failure.name).toEqual('invalidDocument')
})

// Guards against drains that leave a service without upstreams or callers without entry hosts.
test('a drain of the last upstreams or hosts is refused unless forced', async () => {
  const { anna } = await createHarnesses()
  for (const zone of ['a', 'b', 'c', 'd']) {
    await anna.write(`z${zone}`, { kind: 'addDrain', drain: 'zone', name: zone, force: false }).then((result) => result._unsafeUnwrap())
  }
  anna.leaving.add('stock-e')
  const last: ConfigChange = { kind: 'addDrain', drain: 'upstream', name: 'stock-f', force: false }
  expect((await anna.write('u1', last))._unsafeUnwrapErr().name).toEqual('lastUpstreams')
  expect((await anna.write('u2', { ...last, force: true })).isOk()).toEqual(true)
  expect((await anna.write('h1', { kind: 'addDrain', drain: 'host', name: 'e-1', force: false })).isOk()).toEqual(true)
  expect((await anna.write('h2', { kind: 'addDrain', drain: 'host', name: 'f-1', force: false }))._unsafeUnwrapErr().name).toEqual('lastUpstreams')
  expect((await anna.write('u3', { kind: 'removeDrain', drain: 'upstream', name: 'stock-f' })).isOk()).toEqual(true)
})

// Guards against lost, duplicated or reordered changes with two writers, lost requests and lost responses.
test('accepted changes are in force exactly once under random faults', async () => {
  const step = fc.record({
    harness: fc.integer({ min: 0, max: 1 }),
    fault: fc.constantFrom('none', 'lostResponses', 'lostRequests', 'other'),
    rate: fc.integer({ min: 1, max: 1_000 })
  })
  await fc.assert(fc.asyncProperty(fc.array(step, { minLength: 1, maxLength: 6 }), async (steps) => {
    const { platform, anna, joseph } = await createHarnesses()
    const harnesses = [anna, joseph]
    let lastAccepted = sampleContract().rate
    for (const [i, { harness, fault, rate }] of steps.entries()) {
      platform.lostResponses = fault === 'lostResponses' ? 1 : 0
      platform.lostRequests = fault === 'lostRequests' ? 1 : 0
      if (fault === 'other') platform.beforeWrite = async () => { await harnesses[1 - harness]!.put(`o${i}`, { customer: `other-${i}` }, 0) }
      await harnesses[harness]!.reader.poll()
      const version = harnesses[harness]!.holder.held!.doc.contracts.find(({ customer }) => customer === 'gyms')!.version
      const result = await harnesses[harness]!.put(`w${i}`, { rate }, version)
      if (result.isOk()) lastAccepted = rate
    }
    await anna.reader.poll()
    const { log } = readHead(platform)
    expect(anna.holder.held!.doc.contracts.find(({ customer }) => customer === 'gyms')!.rate).toEqual(lastAccepted)
    expect(new Set(log.map(({ writeId }) => writeId)).size).toEqual(log.length)
    expect(log.map(({ version }) => version)).toEqual(log.map((_, i) => i + 1))
  }), { seed: 7, numRuns: 25 })
})
