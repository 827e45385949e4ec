/** A protocol as a set of states. */
export interface Spec<State> {
  readonly initial: State
  /** All states that one step leads to, with the name of the step. */
  next (state: State): Iterable<readonly [label: string, state: State]>
  /** Conditions that must hold in every state. */
  readonly invariants: Readonly<Record<string, (state: State) => boolean>>
}

/** Result of a search. */
interface SearchResult {
  /** Different states that were reached. */
  readonly states: number
  /** True when no state within the specification's bounds was left out. */
  readonly complete: boolean
  readonly violated?: string
  /** Shortest sequence of steps to the violation. */
  readonly path?: readonly string[]
}

/** Searches all states breadth first, up to `maxStates`, and stops at the first violation. */
export function searchStates<State> (spec: Spec<State>, maxStates: number): SearchResult {
  const origins: { readonly parent: number, readonly label: string }[] = [{ parent: -1, label: 'start' }]
  const seen = new Set([JSON.stringify(spec.initial)])
  let layer: { state: State, index: number }[] = [{ state: spec.initial, index: 0 }]
  while (layer.length > 0) {
    const following: { state: State, index: number }[] = []
    for (const { state, index } of layer) {
      for (const [violated, holds] of Object.entries(spec.invariants)) {
        if (!holds(state)) return { states: seen.size, complete: false, violated, path: tracePath(origins, index) }
      }
      for (const [label, after] of spec.next(state)) {
        const key = JSON.stringify(after)
        if (seen.has(key)) continue
        if (seen.size >= maxStates) return { states: seen.size, complete: false }
        seen.add(key)
        origins.push({ parent: index, label })
        following.push({ state: after, index: origins.length - 1 })
      }
    }
    layer = following
  }
  return { states: seen.size, complete: true }
}

function tracePath (origins: readonly { parent: number, label: string }[], index: number): string[] {
  const path: string[] = []
  for (let at = index; at > 0; at = origins[at]!.parent) path.unshift(origins[at]!.label)
  return path
}
