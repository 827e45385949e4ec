import { EventEmitter } from 'node:events'
import type { HeldConfig } from './HeldConfig.js'

/** What became of an offered configuration. */
type ConfigRelation = 'newer' | 'same' | 'older' | 'foreign'

/** Which write a configuration comes from. */
interface ConfigOrigin {
  readonly lineage: string
  readonly version: number
  readonly writeId: string
}

/** Events: `applied` when a higher version is in force. */
interface ConfigHolderEvents {
  applied: [held: HeldConfig]
}

/** Holds the highest configuration that the agent has seen; it never goes back. */
export class ConfigHolder extends EventEmitter<ConfigHolderEvents> {
  private current: HeldConfig | undefined
  private highestObserved = 0

  get held (): HeldConfig | undefined {
    return this.current
  }

  get version (): number {
    return this.current?.doc.version ?? 0
  }

  /** Highest version that any agent has announced, the own one included. */
  get observedVersion (): number {
    return Math.max(this.highestObserved, this.version)
  }

  /** Notes the version that another agent of the same lineage announced. */
  observeVersion (version: number): void {
    this.highestObserved = Math.max(this.highestObserved, version)
  }

  /** Says how a configuration relates to the held one, without taking it. */
  compare (origin: ConfigOrigin): ConfigRelation {
    if (this.current === undefined) return 'newer'
    if (origin.lineage !== this.current.doc.lineage) return 'foreign'
    if (origin.version < this.version) return 'older'
    if (origin.version > this.version) return 'newer'
    return origin.writeId === this.current.writeId ? 'same' : 'foreign'
  }

  /** Puts a configuration in force when it is higher and of the same lineage. */
  offer (held: HeldConfig): ConfigRelation {
    const relation = this.compare({ lineage: held.doc.lineage, version: held.doc.version, writeId: held.writeId })
    if (relation !== 'newer') return relation
    this.current = held
    this.emit('applied', held)
    return relation
  }
}
