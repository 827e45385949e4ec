import { EventEmitter } from 'node:events'
import type { HeldConfig } from './HeldConfig.js'

/** Relation of a configuration to the one in force; `foreign` means another lineage or another write of the same version. */
type ConfigRelation = 'newer' | 'same' | 'older' | 'foreign'

/** Identifies the write that created a configuration. */
interface ConfigOrigin {
  readonly lineage: string
  readonly version: number
  readonly writeId: string
}

/** Events: `applied` when a higher version has been put in force. */
interface ConfigHolderEvents {
  applied: [held: HeldConfig]
}

/** Holds the configuration in force; its version only increases. */
export class ConfigHolder extends EventEmitter<ConfigHolderEvents> {
  private current: HeldConfig | undefined
  private highestObserved = 0

  get held (): HeldConfig | undefined {
    return this.current
  }

  get version (): number {
    return this.current?.doc.version ?? 0
  }

  /** Highest version that any agent has announced, including this one. */
  get observedVersion (): number {
    return Math.max(this.highestObserved, this.version)
  }

  /** Records a version that another agent of the same lineage announced. */
  observeVersion (version: number): void {
    this.highestObserved = Math.max(this.highestObserved, version)
  }

  /** Returns the relation of a configuration to the one in force, without applying it. */
  compare (origin: ConfigOrigin): ConfigRelation {
    if (this.current === undefined) return 'newer'
    if (origin.lineage !== this.current.doc.lineage) return 'foreign'
    if (origin.version < this.version) return 'older'
    if (origin.version > this.version) return 'newer'
    return origin.writeId === this.current.writeId ? 'same' : 'foreign'
  }

  /** Puts a configuration in force if it is newer than the current one; returns its relation to the current one. */
  offer (held: HeldConfig): ConfigRelation {
    const relation = this.compare({ lineage: held.doc.lineage, version: held.doc.version, writeId: held.writeId })
    if (relation !== 'newer') return relation
    this.current = held
    this.emit('applied', held)
    return relation
  }
}
