/** Splits a text at the given places, each a share of its length from 0 to 1. */
export function splitText (text: string, places: readonly number[]): string[] {
  const cuts = [...new Set(places.map((place) => Math.floor(place * text.length)))].sort((a, b) => a - b)
  return [0, ...cuts].map((start, index) => text.slice(start, cuts[index] ?? text.length)).filter((part) => part.length > 0)
}
