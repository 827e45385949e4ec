import { test } from 'node:test'
import { expect } from 'earl'
import fc from 'fast-check'
import { countFrom } from '../../dev/limits/countFrom.js'
import { RetryAllowance } from '../../src/budget/RetryAllowance.js'
import type { RetryShares } from '../../src/budget/RetryShares.js'
import { ServiceRetryBudget } from '../../src/budget/ServiceRetryBudget.js'

/** A fault while requests arrive at a steady rate and are spread over the running hosts. */
type Fault =
  /** Requests need retries from now on, or no longer. */
  | { readonly kind: 'failing' | 'sound', readonly atMs: number }
  | { readonly kind: 'kill', readonly atMs: number, readonly host: number }
  | { readonly kind: 'killAll', readonly atMs: number }
  /** All hosts are restarted, the next one a second after the one before. */
  | { readonly kind: 'restartInTurn', readonly atMs: number }

/** Creates the shares of the budget for a process that starts at a time. */
type CreateShares = (startMs: number) => (nowMs: number) => RetryShares

const bounds = { retryWindowMs: 10_000, retryRatio: 0.2, retrySlack: 62 }
const hostCount = 7
const stepMs = 50
const durationMs = 45_000
/** Time in ms from the end of a process until the next one of its host serves. */
const restartMs = 600
const restartGapMs = 1_000
/** Requests in each step: 160 a second for the whole deployment. */
const requestsPerStep = 8
/** Retries that a request asks for while the endpoints fail. */
const retriesPerRequest = 5

const atMs = fc.nat(durationMs)
const faults: fc.Arbitrary<Fault[]> = fc.array(fc.oneof(
  fc.record({ kind: fc.constantFrom('failing' as const, 'sound' as const), atMs }),
  fc.record({ kind: fc.constant('kill' as const), atMs, host: fc.nat(hostCount - 1) }),
  fc.record({ kind: fc.constantFrom('killAll' as const, 'restartInTurn' as const), atMs })
), { maxLength: 12 }).map((list) => list.sort((a, b) => a.atMs - b.atMs))

/** Lists the ends of processes as pairs of time and host. */
function listEnds (list: readonly Fault[]): Array<readonly [number, number]> {
  const hosts = [...Array(hostCount).keys()]
  const ends = list.flatMap((fault): Array<readonly [number, number]> => {
    if (fault.kind === 'kill') return [[fault.atMs, fault.host]]
    if (fault.kind === 'killAll') return hosts.map((host) => [fault.atMs, host] as const)
    if (fault.kind === 'restartInTurn') return hosts.map((host) => [fault.atMs + host * restartGapMs, host] as const)
    return []
  })
  return ends.sort(([a], [b]) => a - b)
}

/** Plays the faults; returns the sorted times of the requests and of the retries of all hosts. */
function simulate (list: readonly Fault[], createShares: CreateShares): { requests: number[], retries: number[] } {
  const create = (startMs: number): ServiceRetryBudget => new ServiceRetryBudget(() => bounds, createShares(startMs))
  const budgets = Array.from({ length: hostCount }, () => create(-Infinity))
  const downUntilMs = budgets.map(() => 0)
  const ends = listEnds(list)
  const changes = list.filter(({ kind }) => kind === 'failing' || kind === 'sound')
  const requests: number[] = []
  const retries: number[] = []
  let isFailing = false
  let turn = 0
  for (let nowMs = 0; nowMs < durationMs; nowMs += stepMs) {
    while (changes.length > 0 && changes[0]!.atMs <= nowMs) isFailing = changes.shift()!.kind === 'failing'
    while (ends.length > 0 && ends[0]![0] <= nowMs) {
      const host = ends.shift()![1]
      budgets[host] = create(nowMs + restartMs)
      downUntilMs[host] = nowMs + restartMs
    }
    const running = budgets.filter((_budget, host) => downUntilMs[host]! <= nowMs)
    if (running.length === 0) continue
    const wanted = isFailing ? retriesPerRequest : 0
    for (let index = 0; index < requestsPerStep; index++) {
      const budget = running[turn++ % running.length]!
      budget.recordRequest('stock', nowMs)
      requests.push(nowMs)
      for (let count = 0; count < wanted && budget.take('stock', nowMs); count++) retries.push(nowMs)
    }
  }
  return { requests, retries }
}

/**
 * Checks the bound in each window that begins with a retry. Its requests are those of the window, of the one before it or of the
 * one half a window before it, whichever has most.
 */
function isBudgetRespected (createShares: CreateShares): (list: readonly Fault[]) => boolean {
  return (list) => {
    const { requests, retries } = simulate(list, createShares)
    const { retryWindowMs: windowMs, retryRatio, retrySlack } = bounds
    return [...new Set(retries)].every((startMs) => {
      const most = Math.max(...[0, windowMs / 2, windowMs].map((shiftMs) => countFrom(requests, startMs - shiftMs, windowMs)))
      return countFrom(retries, startMs, windowMs) <= retryRatio * most + retrySlack
    })
  }
}

const createAllowance: CreateShares = (startMs) => {
  const allowance = new RetryAllowance({ startMs, readWindowMs: () => bounds.retryWindowMs, countHosts: () => hostCount })
  return (nowMs) => allowance.get(nowMs)
}

// Guards against processes that use again what earlier ones of their host have used in the same window.
test('the retry budget is respected when hosts are killed and restarted while endpoints fail', () => {
  fc.assert(fc.property(faults, isBudgetRespected(createAllowance)), { numRuns: 300, seed: 12 })
})

// Guards against a check that cannot fail: each injected bug must be detected.
test('injected bugs in the retry budget are detected', () => {
  const steady = { ofRatio: 0.8, ofSlack: 0.8 / hostCount }
  const bugs: Array<readonly [string, CreateShares]> = [
    ['every host uses the whole slack', () => () => ({ ...steady, ofSlack: 0.8 })],
    ['each process uses its shares from its start', () => () => steady],
    ['each process uses the ratio from its start', (startMs) => (nowMs) => ({ ...steady, ofSlack: createAllowance(startMs)(nowMs).ofSlack })],
    ['each process uses the slack from its start', (startMs) => (nowMs) => ({ ...steady, ofRatio: createAllowance(startMs)(nowMs).ofRatio })]
  ]
  for (const [name, createShares] of bugs) {
    const isDetected = fc.check(fc.property(faults, isBudgetRespected(createShares)), { numRuns: 300, seed: 13 }).failed
    expect([name, isDetected]).toEqual([name, true])
  }
})
