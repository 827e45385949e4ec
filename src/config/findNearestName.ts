/** Maximum edit distance of a suggestion, relative to the length of the longer name. */
const maxDistanceRatio = 0.5

/** Returns the known name with the smallest edit distance to `name`, or undefined when none is similar. */
export function findNearestName (name: string, known: readonly string[]): string | undefined {
  const ranked = known
    .map((candidate) => ({ candidate, distance: computeEditDistance(name.toLowerCase(), candidate.toLowerCase()) }))
    .filter(({ candidate, distance }) => distance <= Math.max(name.length, candidate.length) * maxDistanceRatio)
    .sort((a, b) => a.distance - b.distance)
  return ranked[0]?.candidate
}

/** Computes the Levenshtein distance with one row of the matrix at a time. */
function computeEditDistance (a: string, b: string): number {
  // Valid names are short; a longer one is not a misspelling, and the distance takes quadratic time.
  if (a.length > 64 || b.length > 64) return Infinity
  let row = Array.from({ length: b.length + 1 }, (_, index) => index)
  for (let i = 1; i <= a.length; i++) {
    const next = [i]
    for (let j = 1; j <= b.length; j++) {
      const substitution = row[j - 1]! + (a[i - 1] === b[j - 1] ? 0 : 1)
      next.push(Math.min(substitution, row[j]! + 1, next[j - 1]! + 1))
    }
    row = next
  }
  return row[b.length]!
}
