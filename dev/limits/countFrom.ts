/** Counts the sorted times from `startMs` until before the end of the window. */
export function countFrom (times: readonly number[], startMs: number, windowMs: number): number {
  return findFirst(times, startMs + windowMs) - findFirst(times, startMs)
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
