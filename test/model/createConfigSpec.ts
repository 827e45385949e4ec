import type { Spec } from './searchStates.js'

/** A host with the configuration version that it runs; 0 while it is down. */
interface ConfigHost {
  readonly version: number
  /** Highest version that it ever ran. */
  readonly highest: number
  /** Versions of the hosts as it last heard of them. */
  readonly heard: readonly number[]
}

interface ConfigState {
  /** Version that the platform holds. */
  readonly head: number
  readonly hosts: readonly ConfigHost[]
  readonly faults: number
}

/** Mistakes that can be planted. */
type ConfigMistake = 'applyOld' | 'ignoreUnconfirmed' | 'oldPortionOnly'

/** A change of one cap from version 1 to version 2. */
interface CapChange {
  readonly before: readonly number[]
  readonly after: readonly number[]
}

/** Configuration versions with a changed cap on three hosts; invariants `config` and `cap`. */
export function createConfigSpec (change: CapChange, mistake?: ConfigMistake): Spec<ConfigState> {
  const names = [...change.before.keys()]
  const cap = sum(change.after)
  const host: ConfigHost = { version: 1, highest: 1, heard: names.map(() => 1) }
  const initial: ConfigState = { head: 1, hosts: names.map(() => host), faults: 2 }

  function * next (state: ConfigState): Iterable<readonly [string, ConfigState]> {
    if (state.head === 1) yield ['accept', { ...state, head: 2 }]
    for (const index of names) {
      const own = state.hosts[index]!
      for (let version = 1; version <= state.head; version += 1) {
        // A document may arrive late, after a newer one.
        const applied = mistake === 'applyOld' ? version : Math.max(own.version, version)
        if (own.version > 0) yield [`${index} receives ${version}`, update(state, index, { ...own, version: applied, highest: Math.max(own.highest, applied) })]
      }
      for (const other of names) {
        const heard = own.heard.map((version, at) => at === other ? state.hosts[other]!.version : version)
        if (own.version > 0 && other !== index) yield [`${index} hears of ${other}`, update(state, index, { ...own, heard })]
      }
      if (own.version > 0 && state.faults > 0) yield [`${index} crashes`, { ...update(state, index, { ...own, version: 0 }), faults: state.faults - 1 }]
      const highest = Math.max(state.head, ...state.hosts.map(({ version }) => version))
      // A started host knows nothing of the others.
      if (own.version === 0) yield [`${index} restarts`, update(state, index, { version: highest, highest, heard: names.map(() => 0) })]
    }
  }

  /** What a host may use; the rule for lowered caps in section 7.1 of the design page. */
  function findUse (state: ConfigState, index: number): number {
    const { version, heard } = state.hosts[index]!
    if (version === 0) return 0
    if (version === 1) return change.before[index]!
    const open = names.filter((other) => other !== index && heard[other]! < 2)
    if (open.length === 0 || mistake === 'ignoreUnconfirmed') return change.after[index]!
    const kept = open.map((other) => mistake === 'oldPortionOnly' ? change.before[other]! : Math.max(change.before[other]!, change.after[other]!))
    const confirmed = sum(names.filter((other) => !open.includes(other)).map((other) => change.after[other]!))
    return confirmed === 0 ? 0 : Math.max(0, Math.min(change.after[index]!, Math.floor((cap - sum(kept)) * change.after[index]! / confirmed)))
  }

  /** Hosts with the new version use only what those with the old one leave of the cap. */
  function holdsCap (state: ConfigState): boolean {
    const old = names.filter((index) => state.hosts[index]!.version === 1)
    const used = sum(names.filter((index) => state.hosts[index]!.version === 2).map((index) => findUse(state, index)))
    return state.head === 1 || used <= Math.max(0, cap - sum(old.map((index) => change.before[index]!)))
  }

  const invariants = { config: (state: ConfigState) => state.hosts.every(({ version, highest }) => version === 0 || version === highest), cap: holdsCap }
  return { initial, next, invariants }
}

function update (state: ConfigState, index: number, host: ConfigHost): ConfigState {
  return { ...state, hosts: state.hosts.map((other, at) => at === index ? host : other) }
}

function sum (values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0)
}
