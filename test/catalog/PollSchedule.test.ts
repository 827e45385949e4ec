import { test } from 'node:test'
import { expect } from 'earl'
import { PollSchedule } from '../../src/catalog/PollSchedule.js'

const times = { maxWaitMs: 10_000, spacingMs: 1_500 }

/** Readers that begin at their own times, on clocks of their own that differ from the store's. */
interface Readers {
  readonly count: number
  /** Time in ms between call and response of the reader after the first; each further one is as much farther away. */
  readonly roundTripMs: number
  /** Time in ms between the starts of two readers. */
  readonly startGapMs?: number
}

/** Returns the times of the store's clock at which the polls of all readers end in the first minute, in order. */
function listPollEnds ({ count, roundTripMs, startGapMs = 0 }: Readers): number[] {
  const ends: number[] = []
  for (let index = 0; index < count; index++) {
    const schedule = new PollSchedule(times)
    const ownClockMs = 123_457 * (index + 1)
    for (let storeMs = startGapMs * index; storeMs < 60_000;) {
      schedule.synchronize(storeMs, storeMs + ownClockMs)
      storeMs += schedule.nextWaitMs({ index, count }, storeMs + ownClockMs) + roundTripMs * index
      ends.push(storeMs)
    }
  }
  return ends.sort((a, b) => a - b)
}

// Guards against readers whose polls end together, so that silent connections leave all of them without news (review/3).
test('the polls of the readers end one after the other', () => {
  for (const [count, roundTripMs] of [[1, 5], [2, 5], [4, 70], [6, 70], [6, 0]] as const) {
    const ends = [0, ...listPollEnds({ count, roundTripMs })].filter((endMs) => endMs <= 60_000)
    const gaps = ends.slice(1).map((endMs, index) => endMs - ends[index]!)
    expect(Math.max(...gaps) <= times.spacingMs + 2 * roundTripMs * count).toEqual(true)
  }
})

// Guards against polls that end together after a rolling restart, since each host counts from its own start.
test('the polls of readers that started one by one end one after the other', () => {
  for (const startGapMs of [200, 1_500, 2_000, 4_500, 9_000]) {
    const ends = listPollEnds({ count: 6, roundTripMs: 0, startGapMs }).filter((endMs) => endMs >= startGapMs * 6 && endMs <= 60_000)
    const gaps = ends.slice(1).map((endMs, index) => endMs - ends[index]!)
    expect(Math.max(...gaps) <= times.spacingMs).toEqual(true)
  }
})

// Guards against copies that count as stale in calm because the next poll after a change ends late (issue 44).
test('the first poll after a change ends within the spacing', () => {
  for (const count of [1, 2, 4, 6]) {
    for (let changeMs = 0; changeMs < count * times.spacingMs; changeMs += 50) {
      const waits = Array.from({ length: count }, (_value, index) => new PollSchedule(times).nextWaitMs({ index, count }, changeMs))
      expect(Math.min(...waits) <= times.spacingMs + 100).toEqual(true)
    }
  }
})

// Guards against twice the calls where polls end a little before or after their turns.
test('a poll that ends near its turn is that of the turn', () => {
  const [count, periodMs] = [2, 3_000]
  for (const earlyMs of [-90, 0, 90]) {
    const waitMs = new PollSchedule(times).nextWaitMs({ index: 0, count }, 5 * periodMs - earlyMs)
    expect(Math.abs(waitMs - periodMs) <= 90).toEqual(true)
  }
})

// Guards against billed calls that grow with the number of readers.
test('the cluster makes about one poll a table in each spacing', () => {
  for (const count of [1, 2, 6]) expect(listPollEnds({ count, roundTripMs: 0 }).length <= 60_000 / times.spacingMs + count).toEqual(true)
})

// Guards against a wait beyond the limit, and against polls that follow each other at once.
test('a wait stays inside its limits', () => {
  const schedule = new PollSchedule(times)
  for (let nowMs = 0; nowMs < 100_000; nowMs += 777) {
    schedule.synchronize(nowMs * 1.01, nowMs)
    const waitMs = schedule.nextWaitMs({ index: 8, count: 20 }, nowMs)
    expect(waitMs >= times.spacingMs / 2 && waitMs <= times.maxWaitMs).toEqual(true)
  }
})
