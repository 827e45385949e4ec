import * as fc from 'fast-check'
import type { LimitBound } from './LimitBound.js'
import type { LimitEvent } from './LimitEvent.js'
import { limitRunSizes } from './limitRunSizes.js'
import type { LimitTrace } from './LimitTrace.js'

/** Range of the traces. */
interface TraceRange {
  /** Smallest and largest number of hosts at the start. */
  readonly minHosts: number
  readonly maxHosts: number
  /** Kinds of events that don't happen. */
  readonly excluded: ReadonlyArray<LimitEvent['kind']>
}

const { maxHosts: mostHosts, maxEvents } = limitRunSizes
const maxSeed = 1_000_000

/** Generates traces of walks. */
export function createLimitTraces (bound: LimitBound, { minHosts, maxHosts, excluded }: TraceRange): fc.Arbitrary<LimitTrace> {
  const { durationMs } = bound
  const atMs = fc.nat(durationMs)
  const shortMs = fc.integer({ min: 100, max: 5_000 })
  const longMs = fc.integer({ min: 500, max: durationMs })
  const host = fc.nat(mostHosts - 1)
  const level = fc.nat(bound.levels - 1)
  const events: Readonly<Record<LimitEvent['kind'], fc.Arbitrary<LimitEvent>>> = {
    kill: fc.record({ kind: fc.constant('kill'), atMs, host, forMs: shortMs }),
    restartAll: fc.record({ kind: fc.constant('restartAll'), atMs, gapMs: fc.nat(2_000) }),
    pause: fc.record({ kind: fc.constant('pause'), atMs, host, forMs: longMs }),
    cut: fc.record({ kind: fc.constant('cut'), atMs, group: fc.integer({ min: 1, max: 2 ** mostHosts - 2 }), isOneWay: fc.boolean(), forMs: longMs }),
    lose: fc.record({ kind: fc.constant('lose'), atMs, share: fc.constantFrom(0.3, 0.7, 0.9), forMs: longMs }),
    delay: fc.record({ kind: fc.constant('delay'), atMs, delayMs: fc.constantFrom(300, 900, 1_500), forMs: longMs }),
    limit: fc.record({ kind: fc.constant('limit'), atMs, level }),
    demand: fc.record({ kind: fc.constant('demand'), atMs, host, factor: fc.constantFrom(0, 0.2, 10) }),
    quiet: fc.record({ kind: fc.constant('quiet'), atMs, forMs: longMs }),
    add: fc.record({ kind: fc.constant('add'), atMs, host }),
    remove: fc.record({ kind: fc.constant('remove'), atMs, host })
  }
  const included = Object.entries(events).filter(([kind]) => !excluded.includes(kind as LimitEvent['kind'])).map(([, event]) => event)
  return fc.record({
    hosts: fc.integer({ min: minHosts, max: maxHosts }),
    level,
    seed: fc.nat(maxSeed),
    durationMs: fc.constant(durationMs),
    events: included.length === 0 ? fc.constant([]) : fc.array(fc.oneof(...included), { maxLength: maxEvents }).map((list) => list.sort((a, b) => a.atMs - b.atMs))
  })
}
