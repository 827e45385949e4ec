import { test } from 'node:test'
import { expect } from 'earl'
import fc from 'fast-check'
import { ColdStartRateLimiter } from '../../src/budget/ColdStartRateLimiter.js'
import { RetrySlackShare } from '../../src/budget/RetrySlackShare.js'
import { ServiceRetryBudget } from '../../src/budget/ServiceRetryBudget.js'
import { peerLimits } from '../../src/peers/peerLimits.js'

/** A fault or a recovery while all hosts try to send. */
type HostEvent =
  | { readonly kind: 'cut', readonly atMs: number, readonly firstGroup: number }
  | { readonly kind: 'heal', readonly atMs: number }
  | { readonly kind: 'restart', readonly atMs: number, readonly host: number }
  | { readonly kind: 'restartAll', readonly atMs: number }

/** Creates the budget of one host for a process that starts now; `listAlive` returns the hosts that it currently observes as alive. */
type CreateBudget = (host: string, listAlive: () => readonly string[], startMs: number) => { take: (nowMs: number) => boolean }

/** Times at which the hosts asked for a permit and got one. */
interface PermitHistory {
  readonly askedAtMs: number[]
  readonly grantedAtMs: number[]
}

const perSecond = 5
/** Largest number of requests of the whole deployment to a cold endpoint in any second. */
const coldBound = perSecond * 1.5 + 5
/** Settings of the deployment-wide limit on retries in any window. */
const retryBounds = { retryWindowMs: 10_000, retryRatio: 0.2, retrySlack: 64 }
const hostCount = 12
const stepMs = 50
const durationMs = 12_000
/** Long enough for a window of the retry budget after the first one of the deployment. */
const retryDurationMs = 32_000
/** Time in ms from the stop of a host until it sends again. */
const restartMs = 1_500
const names = Array.from({ length: hostCount }, (_value, index) => `host-${index}`)

const events: fc.Arbitrary<HostEvent[]> = fc.array(fc.oneof(
  fc.record({ kind: fc.constant('cut' as const), atMs: fc.nat(durationMs), firstGroup: fc.integer({ min: 1, max: hostCount - 1 }) }),
  fc.record({ kind: fc.constant('heal' as const), atMs: fc.nat(durationMs) }),
  fc.record({ kind: fc.constant('restart' as const), atMs: fc.nat(durationMs), host: fc.nat(hostCount - 1) })
), { maxLength: 8 }).map((list) => list.sort((a, b) => a.atMs - b.atMs))

const retryEvents: fc.Arbitrary<HostEvent[]> = fc.array(fc.oneof(
  events.map(([event]) => event ?? { kind: 'heal' as const, atMs: 0 }),
  fc.record({ kind: fc.constant('restartAll' as const), atMs: fc.nat(retryDurationMs) })
), { maxLength: 12 }).map((list) => list.sort((a, b) => a.atMs - b.atMs))

/** Simulates the events while every host requests a permit in every step. */
function simulate (list: readonly HostEvent[], createBudget: CreateBudget, endMs: number): PermitHistory {
  let partitionOf = names.map(() => 0)
  const lastContactMs = names.map(() => names.map(() => 0))
  const downUntilMs = names.map(() => 0)
  let nowMs = 0
  const create = (index: number): ReturnType<CreateBudget> => createBudget(names[index]!, () => names.filter((_name, other) => other === index || nowMs - lastContactMs[index]![other]! < peerLimits.deadAfterMs), nowMs)
  const budgets = names.map((_name, index) => create(index))
  const history: PermitHistory = { askedAtMs: [], grantedAtMs: [] }
  const restart = (host: number): void => {
    if (downUntilMs[host]! > nowMs) return
    downUntilMs[host] = nowMs + restartMs
    budgets[host] = create(host)
  }
  const pending = [...list]
  for (; nowMs < endMs; nowMs += stepMs) {
    while (pending.length > 0 && pending[0]!.atMs <= nowMs) {
      const event = pending.shift()!
      if (event.kind === 'cut') partitionOf = names.map((_name, index) => index < event.firstGroup ? 0 : 1)
      else if (event.kind === 'heal') partitionOf = names.map(() => 0)
      else for (const host of event.kind === 'restart' ? [event.host] : names.keys()) restart(host)
    }
    for (const [index, budget] of budgets.entries()) {
      if (downUntilMs[index]! > nowMs) continue
      for (const other of names.keys()) if (partitionOf[other] === partitionOf[index] && downUntilMs[other]! <= nowMs) lastContactMs[index]![other] = nowMs
      history.askedAtMs.push(nowMs)
      if (budget.take(nowMs)) history.grantedAtMs.push(nowMs)
    }
  }
  return history
}

function countMaxInWindow (times: readonly number[], windowMs: number): number {
  return Math.max(0, ...times.map((startMs) => times.filter((ms) => ms >= startMs && ms < startMs + windowMs).length))
}

function respectsColdBound (createBudget: CreateBudget): (list: readonly HostEvent[]) => boolean {
  return (list) => countMaxInWindow(simulate(list, createBudget, durationMs).grantedAtMs, 1_000) <= coldBound
}

/** Checks the bound when every host requests a retry after each of its own requests. */
function respectsRetryBound (createBudget: CreateBudget): (list: readonly HostEvent[]) => boolean {
  return (list) => {
    const { askedAtMs, grantedAtMs } = simulate(list, createBudget, retryDurationMs)
    return grantedAtMs.every((startMs) => {
      const endMs = startMs + retryBounds.retryWindowMs
      return countInside(grantedAtMs, startMs, endMs) <= retryBounds.retryRatio * countInside(askedAtMs, startMs, endMs) + retryBounds.retrySlack
    })
  }
}

/** Counts the sorted times from `startMs` to before `endMs`. */
function countInside (times: readonly number[], startMs: number, endMs: number): number {
  return findFirst(times, endMs) - findFirst(times, startMs)
}

/** Returns the index of the first of the sorted times that isn't before `limitMs`. */
function findFirst (times: readonly number[], limitMs: number): number {
  let low = 0
  let high = times.length
  while (low < high) {
    const middle = (low + high) >> 1
    if (times[middle]! < limitMs) low = middle + 1
    else high = middle
  }
  return low
}

const createColdBudget: CreateBudget = (host, listAlive) => {
  const budget = new ColdStartRateLimiter(host, listAlive)
  return { take: (nowMs) => budget.take('e', perSecond, nowMs) }
}

/** Creates a budget that asks for one retry of each request. */
function createRetryBudget (getSlackShare: (nowMs: number) => number): { take: (nowMs: number) => boolean } {
  const budget = new ServiceRetryBudget(() => retryBounds, getSlackShare)
  return {
    take: (nowMs) => {
      budget.recordRequest('stock', nowMs)
      return budget.take('stock', nowMs)
    }
  }
}

function createSlackShare (startMs: number): RetrySlackShare {
  return new RetrySlackShare({ startMs, readWindowMs: () => retryBounds.retryWindowMs, countHosts: () => hostCount })
}

// Guards against overload of a cold endpoint when hosts are partitioned or restart at the same time.
test('the rate to a cold endpoint is bounded under partitions and restarts', () => {
  fc.assert(fc.property(events, respectsColdBound(createColdBudget)), { numRuns: 60, seed: 11 })
})

// Guards against hosts that use the slack of other hosts, or that of their own earlier processes.
test('the retry budget is respected under partitions and restarts', () => {
  const isRespected = respectsRetryBound((_host, _listAlive, startMs) => createRetryBudget((nowMs) => createSlackShare(startMs).get(nowMs)))
  fc.assert(fc.property(retryEvents, isRespected), { numRuns: 150, seed: 12 })
})

// Guards against checks that cannot fail: each injected bug must be detected.
test('injected bugs in the shared budgets are detected', () => {
  const coldBugs: Array<readonly [string, CreateBudget]> = [
    ['every host sends', (host) => {
      const budget = new ColdStartRateLimiter(host, () => [host])
      return { take: (nowMs) => budget.take('e', perSecond, nowMs) }
    }],
    ['the rate limiter state is lost after each request', (host, listAlive) => ({ take: (nowMs) => new ColdStartRateLimiter(host, listAlive).take('e', perSecond, nowMs) })]
  ]
  const retryBugs: Array<readonly [string, CreateBudget]> = [
    ['every host uses the whole slack', () => createRetryBudget(() => 1)],
    ['each process uses its share from its start', () => createRetryBudget(() => 1 / hostCount)],
    ['retries are not counted', () => ({ take: () => true })]
  ]
  const isDetected = <T> (arbitrary: fc.Arbitrary<T>, isRespected: (value: T) => boolean): boolean => fc.check(fc.property(arbitrary, isRespected), { numRuns: 150, seed: 13 }).failed
  for (const [name, create] of coldBugs) expect([name, isDetected(events, respectsColdBound(create))]).toEqual([name, true])
  for (const [name, create] of retryBugs) expect([name, isDetected(retryEvents, respectsRetryBound(create))]).toEqual([name, true])
})
