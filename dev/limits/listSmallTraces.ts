import type { LimitBound } from './LimitBound.js'
import type { LimitEvent } from './LimitEvent.js'
import type { LimitTrace } from './LimitTrace.js'

/** An event without its time. */
type EventKind = LimitEvent extends infer Event ? Event extends LimitEvent ? Omit<Event, 'atMs'> : never : never

/** Times in ms at which an event may happen: 1 s apart, and after the window of a start. */
const slotsMs = [2_000, 3_000, 14_000]
const maxEvents = 2
const cutMs = 32_000

/** Yields all traces of a number of hosts with up to two events, those with the fewest events first. */
export function * listSmallTraces (bound: LimitBound, hosts: number, excluded: ReadonlyArray<LimitEvent['kind']>): Generator<LimitTrace> {
  const kinds = listKinds(bound, hosts).filter(({ kind }) => !excluded.includes(kind))
  for (let size = 0; size <= maxEvents; size++) {
    for (let level = 0; level < bound.levels; level++) {
      for (const events of listSequences(kinds, size, 0)) yield { hosts, level, seed: 1, durationMs: bound.durationMs, events }
    }
  }
}

/** Yields all sequences of `size` events in the slots from `slot` on. */
function * listSequences (kinds: readonly EventKind[], size: number, slot: number): Generator<LimitEvent[]> {
  if (size === 0) return yield []
  for (let first = slot; first <= slotsMs.length - size; first++) {
    for (const kind of kinds) {
      for (const rest of listSequences(kinds, size - 1, first + 1)) yield [{ ...kind, atMs: slotsMs[first]! } as LimitEvent, ...rest]
    }
  }
}

/** Lists the events; hosts are alike but for their names, so only the first and the last one have troubles of their own. */
function listKinds ({ levels }: LimitBound, hosts: number): EventKind[] {
  const last = hosts - 1
  return [
    { kind: 'kill', host: 0, forMs: 600 },
    { kind: 'restartAll', gapMs: 0 },
    { kind: 'pause', host: 0, forMs: 3_000 },
    { kind: 'pause', host: last, forMs: 12_000 },
    { kind: 'cut', group: 1, isOneWay: false, forMs: cutMs },
    { kind: 'cut', group: 1, isOneWay: true, forMs: cutMs },
    { kind: 'lose', share: 0.9, forMs: 5_000 },
    { kind: 'delay', delayMs: 1_500, forMs: 5_000 },
    { kind: 'quiet', forMs: 5_000 },
    { kind: 'demand', host: last, factor: 10 },
    { kind: 'add', host: hosts },
    { kind: 'remove', host: last },
    ...Array.from({ length: levels }, (_value, level) => ({ kind: 'limit' as const, level }))
  ]
}
