import { test } from 'node:test'
import { expect } from 'earl'
import { ColdLimitBound } from '../../dev/limits/ColdLimitBound.js'
import type { CreateLimitProcess } from '../../dev/limits/CreateLimitProcess.js'
import type { LimitBound } from '../../dev/limits/LimitBound.js'
import type { LimitEvent } from '../../dev/limits/LimitEvent.js'
import { LimitProcess } from '../../dev/limits/LimitProcess.js'
import { LimitRun } from '../../dev/limits/LimitRun.js'
import type { LimitTrace } from '../../dev/limits/LimitTrace.js'
import { NamedLimitBound } from '../../dev/limits/NamedLimitBound.js'
import { RetryLimitBound } from '../../dev/limits/RetryLimitBound.js'
import { runLimitCheck } from '../../dev/limits/runLimitCheck.js'
import type { RetryShares } from '../../src/budget/RetryShares.js'

/** Hosts and troubles under which short runs have no finding; what longer ones and other settings find is in KNOWN-RED.txt. */
interface Setting {
  readonly bound: LimitBound
  readonly minHosts: number
  readonly maxHosts: number
  readonly excluded: ReadonlyArray<LimitEvent['kind']>
}

const seed = 34
/** Issue 34 asks for a planted fault to be found within a minute. */
const timeLimitMs = 60_000
/** Traces of a short run, which takes a few seconds; a number of traces keeps it the same on each machine. */
const shortTraces = 300
const plantedTraces = 5_000
const retries: Setting = { bound: new RetryLimitBound(), minHosts: 4, maxHosts: 7, excluded: ['demand', 'pause', 'remove'] }
const cold: Setting = { bound: new ColdLimitBound(), minHosts: 2, maxHosts: 4, excluded: [] }
const named: Setting = { bound: new NamedLimitBound(), minHosts: 2, maxHosts: 7, excluded: ['delay', 'lose'] }
const create: CreateLimitProcess = (options) => new LimitProcess(options)

function check (setting: Setting, createProcess: CreateLimitProcess, maxTraces: number): ReturnType<typeof runLimitCheck> {
  return runLimitCheck(setting.bound, { ...setting, seed, timeLimitMs, maxTraces, create: createProcess, onLine: () => {} })
}

function play (bound: LimitBound, trace: Pick<LimitTrace, 'hosts' | 'level' | 'events'> & { readonly seed?: number }): string | undefined {
  const run = new LimitRun({ seed: 1, durationMs: bound.durationMs, ...trace }, bound, create)
  run.play()
  return bound.findExcess(run.log)
}

// Guards against hosts that exceed a limit together under troubles that it is built for.
for (const setting of [retries, cold, named]) {
  test(`all hosts together keep the limit of ${setting.bound.name} in short runs`, () => {
    const { finding, traces } = check(setting, create, shortTraces)
    expect([finding, traces]).toEqual([undefined, shortTraces])
  })
}

/** A process that counts only the hosts it hears. */
class LonelyProcess extends LimitProcess {
  protected override countHosts (): number {
    return this.listLiveNames().length
  }
}

/** A process that keeps its first shares of the budget for good. */
class StaleShareProcess extends LimitProcess {
  private shares: RetryShares | undefined

  protected override getShares (nowMs: number): RetryShares {
    const current = super.getShares(nowMs)
    if (current.ofSlack > 0) this.shares ??= current
    return this.shares ?? current
  }
}

/** A process that chooses senders among every other host only. */
class HalfViewProcess extends LimitProcess {
  protected override listRecentNames (): readonly string[] {
    const isOdd = (name: string): boolean => Number(name.at(-1)) % 2 === 1
    return super.listRecentNames().filter((name) => isOdd(name) === isOdd(this.options.record.name))
  }
}

const planted: ReadonlyArray<readonly [name: string, setting: Setting, create: CreateLimitProcess]> = [
  ['a budget that begins anew with each start', retries, (options) => new LimitProcess({ ...options, isFirstStart: true })],
  ['a host that knows nobody and takes the whole slack', retries, (options) => new LonelyProcess(options)],
  ['a share used after its expiry', { ...retries, minHosts: 2, maxHosts: 3 }, (options) => new StaleShareProcess(options)],
  ['two views of the senders', named, (options) => new HalfViewProcess(options)]
]

// Guards against a checker that finds nothing: the same setting has no finding without the fault.
for (const [name, setting, createProcess] of planted) {
  test(`the limit checker finds ${name}`, () => {
    const startMs = performance.now()
    const { finding, traces } = check(setting, createProcess, plantedTraces)
    console.log(`planted=${JSON.stringify(name)} seed=${seed} traces=${traces} seconds=${((performance.now() - startMs) / 1_000).toFixed(1)} excess=${JSON.stringify(finding?.excess)} trace=${JSON.stringify(finding?.trace)}`)
    expect(finding !== undefined).toEqual(true)
  })
}

// Guards against a host that uses the budget of its last window while others use it again for the traffic that they take over.
test('retries stay within the budget when a host that leaves hands its traffic to others', () => {
  expect(play(retries.bound, { hosts: 2, level: 0, events: [{ kind: 'restartAll', gapMs: 0, atMs: 2_000 }, { kind: 'remove', host: 1, atMs: 14_000 }] })).toEqual(undefined)
})

// Guards against the same without any trouble at a host.
test('retries stay within the budget when callers move from one host to another', () => {
  const events: LimitEvent[] = [
    { kind: 'demand', host: 1, factor: 0, atMs: 0 },
    { kind: 'quiet', atMs: 0, forMs: 15_000 },
    { kind: 'demand', host: 1, factor: 10, atMs: 15_500 },
    { kind: 'demand', host: 0, factor: 0, atMs: 15_500 }
  ]
  expect(play(retries.bound, { hosts: 2, level: 0, events })).toEqual(undefined)
})

// Guards against hosts that each count as the only sender since they haven't heard of each other yet.
test('hosts that start at the same time keep the rate of a cold endpoint', () => {
  expect(play(cold.bound, { hosts: 7, level: 1, events: [] })).toEqual(undefined)
})

// Guards against processes that each begin with a permit, although earlier ones of their hosts have just used theirs.
test('hosts that are restarted together keep the rate of a cold endpoint', () => {
  const events: LimitEvent[] = [{ kind: 'add', atMs: 4_341, host: 3 }, { kind: 'restartAll', atMs: 13_392, gapMs: 24 }]
  expect(play(cold.bound, { hosts: 3, level: 1, seed: 0, events })).toEqual(undefined)
})

// Guards against a margin that doesn't cover the senders of both views of a cut at a high rate.
test('both sides of a cut together keep the rate of a cold endpoint', () => {
  const events: LimitEvent[] = [{ kind: 'cut', group: 7, isOneWay: false, atMs: 2_000, forMs: 30_000 }, { kind: 'quiet', atMs: 2_000, forMs: 5_000 }]
  expect(play(cold.bound, { hosts: 6, level: 2, events })).toEqual(undefined)
})

// Guards against hosts that each count as the only sender of a named limit while heartbeats are lost.
test('hosts that hear of each other late keep a named limit', () => {
  expect(play(named.bound, { hosts: 2, level: 0, seed: 11, events: [{ kind: 'lose', atMs: 0, share: 0.9, forMs: 3_001 }] })).toEqual(undefined)
})

// Guards against a heartbeat that takes long and makes the limit of before look newer than a response.
test('a delayed heartbeat brings no older limit back', () => {
  expect(play(named.bound, { hosts: 2, level: 0, events: [{ kind: 'delay', delayMs: 1_500, forMs: 5_000, atMs: 2_000 }, { kind: 'limit', level: 3, atMs: 3_000 }] })).toEqual(undefined)
})
