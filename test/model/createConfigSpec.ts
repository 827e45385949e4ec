import type { Spec } from './searchStates.js'

/** A host with the configuration version that it applies; 0 while it is down. */
interface ConfigHost {
  readonly version: number
  /** Highest version that the host has applied. */
  readonly highest: number
  /** Versions of all hosts as last observed by this host. */
  readonly observedVersions: readonly number[]
}

interface ConfigState {
  /** Version that the platform holds. */
  readonly head: number
  readonly hosts: readonly ConfigHost[]
  readonly faults: number
}

/** Bugs that can be injected into the protocol. */
type ConfigBug = 'applyOld' | 'ignoreUnconfirmed' | 'oldPortionOnly'

/** Portions of one cap per host in version 1 and in version 2. */
interface CapChange {
  readonly before: readonly number[]
  readonly after: readonly number[]
}

/** Specifies the rollout of a configuration with a changed cap to three hosts, with the invariants `config` and `cap`. */
export function createConfigSpec (change: CapChange, bug?: ConfigBug): Spec<ConfigState> {
  const names = [...change.before.keys()]
  const cap = sum(change.after)
  const host: ConfigHost = { version: 1, highest: 1, observedVersions: names.map(() => 1) }
  const initial: ConfigState = { head: 1, hosts: names.map(() => host), faults: 2 }

  function * next (state: ConfigState): Iterable<readonly [string, ConfigState]> {
    if (state.head === 1) yield ['accept', { ...state, head: 2 }]
    for (const index of names) {
      const own = state.hosts[index]!
      for (let version = 1; version <= state.head; version += 1) {
        // A document may arrive late, after a newer one.
        const applied = bug === 'applyOld' ? version : Math.max(own.version, version)
        if (own.version > 0) yield [`${index} receives ${version}`, update(state, index, { ...own, version: applied, highest: Math.max(own.highest, applied) })]
      }
      for (const other of names) {
        const observedVersions = own.observedVersions.map((version, at) => at === other ? state.hosts[other]!.version : version)
        if (own.version > 0 && other !== index) yield [`${index} observes ${other}`, update(state, index, { ...own, observedVersions })]
      }
      if (own.version > 0 && state.faults > 0) yield [`${index} crashes`, { ...update(state, index, { ...own, version: 0 }), faults: state.faults - 1 }]
      const highest = Math.max(state.head, ...state.hosts.map(({ version }) => version))
      // A restarted host has observed no other host yet.
      if (own.version === 0) yield [`${index} restarts`, update(state, index, { version: highest, highest, observedVersions: names.map(() => 0) })]
    }
  }

  /** Computes the portion that a host may use, by the rule for lowered caps in section 7.1 of the design page. */
  function computeUsage (state: ConfigState, index: number): number {
    const { version, observedVersions } = state.hosts[index]!
    if (version === 0) return 0
    if (version === 1) return change.before[index]!
    const unconfirmed = names.filter((other) => other !== index && observedVersions[other]! < 2)
    if (unconfirmed.length === 0 || bug === 'ignoreUnconfirmed') return change.after[index]!
    const reserved = unconfirmed.map((other) => bug === 'oldPortionOnly' ? change.before[other]! : Math.max(change.before[other]!, change.after[other]!))
    const confirmed = sum(names.filter((other) => !unconfirmed.includes(other)).map((other) => change.after[other]!))
    return confirmed === 0 ? 0 : Math.max(0, Math.min(change.after[index]!, Math.floor((cap - sum(reserved)) * change.after[index]! / confirmed)))
  }

  /** Returns whether hosts with the new version use only what hosts with the old version leave of the cap. */
  function isCapRespected (state: ConfigState): boolean {
    const old = names.filter((index) => state.hosts[index]!.version === 1)
    const used = sum(names.filter((index) => state.hosts[index]!.version === 2).map((index) => computeUsage(state, index)))
    return state.head === 1 || used <= Math.max(0, cap - sum(old.map((index) => change.before[index]!)))
  }

  const invariants = { config: (state: ConfigState) => state.hosts.every(({ version, highest }) => version === 0 || version === highest), cap: isCapRespected }
  return { initial, next, invariants }
}

function update (state: ConfigState, index: number, host: ConfigHost): ConfigState {
  return { ...state, hosts: state.hosts.map((other, at) => at === index ? host : other) }
}

function sum (values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0)
}
