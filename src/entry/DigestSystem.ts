import { System } from '../common/System.js'
import type { Digest } from '../model/Digest.js'
import type { EntryModules } from './EntryModules.js'
import type { EntryState } from './EntryState.js'

/** Sources of a digest. */
interface DigestOptions {
  readonly host: string
  readonly incarnation: number
  readonly modules: EntryModules
  readonly state: EntryState
  readonly countInFlight: () => number
  readonly isServing: () => boolean
  readonly send: (digest: Digest) => void
}

const intervalMs = 250
const maxUses = 64

/** Sends a digest of this process to the agent every 250 ms, and immediately after a change that other hosts must act on. */
export class DigestSystem extends System {
  override readonly name = 'digest'
  private seq = 0
  private sentAtMs = -Infinity
  private lastUrgentState = ''

  constructor (private readonly options: DigestOptions) {
    super()
  }

  override run (nowMs: number): void {
    const urgentState = this.serializeUrgentState()
    if (urgentState === this.lastUrgentState && nowMs - this.sentAtMs < intervalMs) return
    this.lastUrgentState = urgentState
    this.sentAtMs = nowMs
    this.options.send(this.build())
  }

  private build (): Digest {
    const { host, incarnation, modules, state } = this.options
    this.seq += 1
    return {
      host,
      entryIncarnation: incarnation,
      seq: this.seq,
      appliedVersion: modules.share.appliedVersion,
      serving: this.options.isServing(),
      leaving: state.isLeaving,
      inFlight: this.options.countInFlight(),
      loads: modules.steer.listLoads(),
      leavingEndpoints: modules.steer.listLeavingEndpoints(),
      drainInFlight: modules.steer.drainInFlight(),
      uses: modules.share.listUses().slice(0, maxUses)
    }
  }

  /** Serializes the state whose changes are sent immediately. */
  private serializeUrgentState (): string {
    const { modules, state } = this.options
    const { steer, share } = modules
    const drained = Object.entries(steer.drainInFlight()).filter(([, count]) => count === 0).map(([name]) => name)
    const empty = steer.listLoads().filter((load) => load.slots === 0).map((load) => load.service)
    return JSON.stringify([state.isLeaving, this.options.isServing(), share.appliedVersion, steer.listLeavingEndpoints(), drained, empty])
  }
}
