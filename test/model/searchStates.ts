/** A protocol specified as a state machine. */
export interface Spec<State> {
  readonly initial: State
  /** Yields all states that are reachable by one step, with the name of the step. */
  next (state: State): Iterable<readonly [label: string, state: State]>
  /** Conditions that must hold in every reachable state. */
  readonly invariants: Readonly<Record<string, (state: State) => boolean>>
}

/** Result of a search. */
interface SearchResult {
  /** Number of distinct states reached. */
  readonly states: number
  /** True when all states within the bounds of the specification were checked. */
  readonly complete: boolean
  /** Name of the violated invariant. */
  readonly violated?: string
  /** Shortest sequence of steps that leads to the violation. */
  readonly path?: readonly string[]
}

/** Searches the states breadth first, up to `maxStates`, and stops at the first violation. */
export function searchStates<State> (spec: Spec<State>, maxStates: number): SearchResult {
  const origins: { readonly parent: number, readonly label: string }[] = [{ parent: -1, label: 'start' }]
  const seen = new Set([JSON.stringify(spec.initial)])
  let layer: { state: State, index: number }[] = [{ state: spec.initial, index: 0 }]
  while (layer.length > 0) {
    const nextLayer: { state: State, index: number }[] = []
    for (const { state, index } of layer) {
      for (const [violated, holds] of Object.entries(spec.invariants)) {
        if (!holds(state)) return { states: seen.size, complete: false, violated, path: tracePath(origins, index) }
      }
      for (const [label, nextState] of spec.next(state)) {
        const key = JSON.stringify(nextState)
        if (seen.has(key)) continue
        if (seen.size >= maxStates) return { states: seen.size, complete: false }
        seen.add(key)
        origins.push({ parent: index, label })
        nextLayer.push({ state: nextState, index: origins.length - 1 })
      }
    }
    layer = nextLayer
  }
  return { states: seen.size, complete: true }
}

function tracePath (origins: readonly { parent: number, label: string }[], index: number): string[] {
  const path: string[] = []
  for (let at = index; at > 0; at = origins[at]!.parent) path.unshift(origins[at]!.label)
  return path
}
