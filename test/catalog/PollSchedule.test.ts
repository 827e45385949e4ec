import { test } from 'node:test'
import { expect } from 'earl'
import { PollSchedule } from '../../src/catalog/PollSchedule.js'

const times = { maxWaitMs: 10_000, spacingMs: 1_500 }

/** Returns the times at which the polls of all readers end in the first minute after a change, in order. */
function listPollEnds (count: number, roundTripMs: number): number[] {
  const ends: number[] = []
  for (let index = 0; index < count; index++) {
    const schedule = new PollSchedule(times)
    for (let nowMs = 0; nowMs < 60_000;) {
      nowMs += schedule.nextWaitMs({ index, count }, nowMs) + roundTripMs * index
      ends.push(nowMs)
    }
  }
  return ends.sort((a, b) => a - b)
}

// Guards against readers whose polls end together, so that silent connections leave all of them without news (review/3).
test('the polls of the readers end one after the other', () => {
  for (const [count, roundTripMs] of [[1, 5], [2, 5], [4, 70], [6, 70], [6, 0]] as const) {
    const ends = [0, ...listPollEnds(count, roundTripMs)].filter((endMs) => endMs <= 60_000)
    const gaps = ends.slice(1).map((endMs, index) => endMs - ends[index]!)
    expect(Math.max(...gaps) <= times.spacingMs + 2 * roundTripMs * count).toEqual(true)
  }
})

// Guards against billed calls that grow with the number of readers.
test('the cluster makes about one poll a table in each spacing', () => {
  for (const count of [1, 2, 6]) expect(listPollEnds(count, 0).length <= 60_000 / times.spacingMs + count).toEqual(true)
})

// Guards against a wait beyond the limit, and against polls that follow each other at once.
test('a wait stays inside its limits', () => {
  const schedule = new PollSchedule(times)
  for (let nowMs = 0; nowMs < 100_000; nowMs += 777) {
    const waitMs = schedule.nextWaitMs({ index: 8, count: 20 }, nowMs)
    expect(waitMs >= times.spacingMs / 2 && waitMs <= times.maxWaitMs).toEqual(true)
  }
})
