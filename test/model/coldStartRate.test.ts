import { test } from 'node:test'
import { expect } from 'earl'
import fc from 'fast-check'
import { ColdStartRateLimiter } from '../../src/budget/ColdStartRateLimiter.js'
import { peerLimits } from '../../src/peers/peerLimits.js'

/** A fault or a recovery while all hosts try to send. */
type HostEvent =
  | { readonly kind: 'cut', readonly atMs: number, readonly firstGroup: number }
  | { readonly kind: 'heal', readonly atMs: number }
  | { readonly kind: 'restart', readonly atMs: number, readonly host: number }

/** Creates the budget of one host; `listAlive` returns the hosts that it currently observes as alive. */
type CreateBudget = (host: string, listAlive: () => readonly string[]) => { take: (nowMs: number) => boolean }

const perSecond = 5
/** Largest number of requests of the whole deployment to a cold endpoint in any second. */
const coldBound = perSecond * 1.5 + 5
const hostCount = 12
const stepMs = 50
const durationMs = 12_000
/** Time in ms from the stop of a host until it sends again. */
const restartMs = 1_500
const names = Array.from({ length: hostCount }, (_value, index) => `host-${index}`)

const events: fc.Arbitrary<HostEvent[]> = fc.array(fc.oneof(
  fc.record({ kind: fc.constant('cut' as const), atMs: fc.nat(durationMs), firstGroup: fc.integer({ min: 1, max: hostCount - 1 }) }),
  fc.record({ kind: fc.constant('heal' as const), atMs: fc.nat(durationMs) }),
  fc.record({ kind: fc.constant('restart' as const), atMs: fc.nat(durationMs), host: fc.nat(hostCount - 1) })
), { maxLength: 8 }).map((list) => list.sort((a, b) => a.atMs - b.atMs))

/** Simulates the events while every host requests a permit in every step; returns the times at which permits were granted. */
function simulate (list: readonly HostEvent[], createBudget: CreateBudget): number[] {
  let partitionOf = names.map(() => 0)
  const lastContactMs = names.map(() => names.map(() => 0))
  const downUntilMs = names.map(() => 0)
  let nowMs = 0
  const create = (index: number): ReturnType<CreateBudget> => createBudget(names[index]!, () => names.filter((_name, other) => other === index || nowMs - lastContactMs[index]![other]! < peerLimits.deadAfterMs))
  const budgets = names.map((_name, index) => create(index))
  const grantedAtMs: number[] = []
  const pending = [...list]
  for (; nowMs < durationMs; nowMs += stepMs) {
    while (pending.length > 0 && pending[0]!.atMs <= nowMs) {
      const event = pending.shift()!
      if (event.kind === 'cut') partitionOf = names.map((_name, index) => index < event.firstGroup ? 0 : 1)
      else if (event.kind === 'heal') partitionOf = names.map(() => 0)
      else if (downUntilMs[event.host]! <= nowMs) {
        downUntilMs[event.host] = nowMs + restartMs
        budgets[event.host] = create(event.host)
      }
    }
    for (const [index, budget] of budgets.entries()) {
      if (downUntilMs[index]! > nowMs) continue
      for (const other of names.keys()) if (partitionOf[other] === partitionOf[index] && downUntilMs[other]! <= nowMs) lastContactMs[index]![other] = nowMs
      if (budget.take(nowMs)) grantedAtMs.push(nowMs)
    }
  }
  return grantedAtMs
}

function countMaxInWindow (times: readonly number[], windowMs: number): number {
  return Math.max(0, ...times.map((startMs) => times.filter((ms) => ms >= startMs && ms < startMs + windowMs).length))
}

function respectsColdBound (createBudget: CreateBudget): (list: readonly HostEvent[]) => boolean {
  return (list) => countMaxInWindow(simulate(list, createBudget), 1_000) <= coldBound
}

const createColdBudget: CreateBudget = (host, listAlive) => {
  const budget = new ColdStartRateLimiter(host, listAlive)
  return { take: (nowMs) => budget.take('e', perSecond, nowMs) }
}

// Guards against overload of a cold endpoint when hosts are partitioned or restart at the same time.
test('the rate to a cold endpoint is bounded under partitions and restarts', () => {
  fc.assert(fc.property(events, respectsColdBound(createColdBudget)), { numRuns: 60, seed: 11 })
})

// Guards against checks that cannot fail: each injected bug must be detected.
test('injected bugs in the rate limit of cold endpoints are detected', () => {
  const bugs: Array<readonly [string, (list: readonly HostEvent[]) => boolean]> = [
    ['every host sends', respectsColdBound((host) => {
      const budget = new ColdStartRateLimiter(host, () => [host])
      return { take: (nowMs) => budget.take('e', perSecond, nowMs) }
    })],
    ['the rate limiter state is lost after each request', respectsColdBound((host, listAlive) => ({ take: (nowMs) => new ColdStartRateLimiter(host, listAlive).take('e', perSecond, nowMs) }))]
  ]
  for (const [name, isRespected] of bugs) {
    const isDetected = fc.check(fc.property(events, isRespected), { numRuns: 150, seed: 13 }).failed
    expect([name, isDetected]).toEqual([name, true])
  }
})
