import { test } from 'node:test'
import { expect } from 'earl'
import fc from 'fast-check'
import { ColdBudget } from '../../src/budget/ColdBudget.js'
import { RetryBudget } from '../../src/budget/RetryBudget.js'
import { peerLimits } from '../../src/peers/peerLimits.js'

/** Something that happens to the hosts while they all want to send. */
type HostEvent =
  | { readonly kind: 'cut', readonly atMs: number, readonly firstGroup: number }
  | { readonly kind: 'heal', readonly atMs: number }
  | { readonly kind: 'restart', readonly atMs: number, readonly host: number }

/** A decision of one host; `seen` are the hosts that it takes for alive. */
type Decide = (host: string, seen: () => readonly string[]) => { take: (nowMs: number) => boolean }

const perSecond = 5
/** Bounds of the deployment: for a cold endpoint in any second, and for further attempts in any window. */
const coldBound = perSecond * 1.5 + 5
const retryBounds = { retryWindowMs: 10_000, retryRatio: 0.2, retrySlack: 64 }
const hostCount = 12
const stepMs = 50
const spanMs = 12_000
/** A host needs this time in ms from its end until it sends again. */
const restartMs = 1_500
const names = Array.from({ length: hostCount }, (_value, index) => `host-${index}`)

const events: fc.Arbitrary<HostEvent[]> = fc.array(fc.oneof(
  fc.record({ kind: fc.constant('cut' as const), atMs: fc.nat(spanMs), firstGroup: fc.integer({ min: 1, max: hostCount - 1 }) }),
  fc.record({ kind: fc.constant('heal' as const), atMs: fc.nat(spanMs) }),
  fc.record({ kind: fc.constant('restart' as const), atMs: fc.nat(spanMs), host: fc.nat(hostCount - 1) })
), { maxLength: 8 }).map((list) => list.sort((a, b) => a.atMs - b.atMs))

/** Plays events while every host asks for leave in every step; returns the times at which leave was given. */
function play (list: readonly HostEvent[], decide: Decide): number[] {
  let groupOf = names.map(() => 0)
  const lastHeardMs = names.map(() => names.map(() => 0))
  const downUntilMs = names.map(() => 0)
  let nowMs = 0
  const create = (index: number): ReturnType<Decide> => decide(names[index]!, () => names.filter((_name, other) => other === index || nowMs - lastHeardMs[index]![other]! < peerLimits.deadAfterMs))
  const hosts = names.map((_name, index) => create(index))
  const given: number[] = []
  const pending = [...list]
  for (; nowMs < spanMs; nowMs += stepMs) {
    while (pending.length > 0 && pending[0]!.atMs <= nowMs) {
      const event = pending.shift()!
      if (event.kind === 'cut') groupOf = names.map((_name, index) => index < event.firstGroup ? 0 : 1)
      else if (event.kind === 'heal') groupOf = names.map(() => 0)
      else if (downUntilMs[event.host]! <= nowMs) {
        downUntilMs[event.host] = nowMs + restartMs
        hosts[event.host] = create(event.host)
      }
    }
    for (const [index, host] of hosts.entries()) {
      if (downUntilMs[index]! > nowMs) continue
      for (const other of names.keys()) if (groupOf[other] === groupOf[index] && downUntilMs[other]! <= nowMs) lastHeardMs[index]![other] = nowMs
      if (host.take(nowMs)) given.push(nowMs)
    }
  }
  return given
}

function countMost (times: readonly number[], windowMs: number): number {
  return Math.max(0, ...times.map((startMs) => times.filter((ms) => ms >= startMs && ms < startMs + windowMs).length))
}

function keepsCold (decide: Decide): (list: readonly HostEvent[]) => boolean {
  return (list) => countMost(play(list, decide), 1_000) <= coldBound
}

/** Every host asks for a further attempt after every request of its own. */
function keepsRetries (decide: Decide): (list: readonly HostEvent[]) => boolean {
  const mostRequests = hostCount * retryBounds.retryWindowMs / stepMs
  return (list) => countMost(play(list, decide), retryBounds.retryWindowMs) <= retryBounds.retryRatio * mostRequests + retryBounds.retrySlack
}

const decideCold: Decide = (host, seen) => {
  const budget = new ColdBudget(host, seen)
  return { take: (nowMs) => budget.take('e', perSecond, nowMs) }
}

function createRetryDecision (countHosts: () => number, asksPerRequest: number): { take: (nowMs: number) => boolean } {
  const budget = new RetryBudget(() => retryBounds, countHosts)
  return {
    take: (nowMs) => {
      budget.noteRequest('stock', nowMs)
      return Array.from({ length: asksPerRequest }, () => budget.take('stock', nowMs)).includes(true)
    }
  }
}

// Guards against a cold endpoint that crashes when hosts are cut off from each other or restart at the same time.
test('the cold rate is kept under cuts and restarts', () => {
  fc.assert(fc.property(events, keepsCold(decideCold)), { numRuns: 60, seed: 11 })
})

// Guards against hosts that take the others' parts of the slack when they no longer hear them.
test('the retry budget is kept under cuts and restarts', () => {
  fc.assert(fc.property(events, keepsRetries(() => createRetryDecision(() => hostCount, 1))), { numRuns: 150, seed: 12 })
})

// Guards against checks that could not fail: each planted mistake is found.
test('planted mistakes in the shared budgets are found', () => {
  const mistakes: Array<readonly [string, (list: readonly HostEvent[]) => boolean]> = [
    ['every host sends', keepsCold((host) => {
      const budget = new ColdBudget(host, () => [host])
      return { take: (nowMs) => budget.take('e', perSecond, nowMs) }
    })],
    ['the pace is forgotten after each request', keepsCold((host, seen) => ({ take: (nowMs) => new ColdBudget(host, seen).take('e', perSecond, nowMs) }))],
    ['every host takes the whole slack', keepsRetries(() => createRetryDecision(() => 1, 1))],
    ['further attempts are not counted', keepsRetries(() => ({ take: () => true }))]
  ]
  for (const [name, keeps] of mistakes) {
    const found = fc.check(fc.property(events, keeps), { numRuns: 150, seed: 13 }).failed
    expect([name, found]).toEqual([name, true])
  }
})
