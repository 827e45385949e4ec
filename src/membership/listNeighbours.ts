/**
 * Selects the ring neighbours of a host among the sorted live hosts of its zone. Distances grow exponentially, so that a
 * change crosses a zone of some hundred hosts in a few hops. The selection is symmetric: two neighbours select each other.
 */
export function listNeighbours (ring: readonly string[], host: string, max: number): string[] {
  const index = ring.indexOf(host)
  const others = ring.filter((name) => name !== host)
  if (index < 0 || others.length <= max) return others
  const steps = max / 2
  const chosen = new Set<string>()
  let distance = 0
  for (let step = 0; step < steps; step += 1) {
    distance = Math.max(distance + 1, Math.round(ring.length ** (step / steps)))
    chosen.add(ring[(index + distance) % ring.length]!)
    chosen.add(ring[(index - distance + ring.length) % ring.length]!)
  }
  chosen.delete(host)
  return [...chosen]
}
