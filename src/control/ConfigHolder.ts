import { EventEmitter } from 'node:events'
import type { HeldConfig } from './HeldConfig.js'

/** What became of an offered configuration. */
type OfferResult = 'applied' | 'same' | 'older' | 'foreign'

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
  private highestHeard = 0

  get held (): HeldConfig | undefined {
    return this.current
  }

  get version (): number {
    return this.current?.doc.version ?? 0
  }

  /** Highest version that any agent has announced, the own one included. */
  get heardVersion (): number {
    return Math.max(this.highestHeard, this.version)
  }

  /** Notes the version that another agent of the same lineage announced. */
  hear (version: number): void {
    this.highestHeard = Math.max(this.highestHeard, version)
  }

  /** Says how a configuration relates to the held one, without taking it. */
  compare (origin: ConfigOrigin): OfferResult {
    if (this.current === undefined) return 'applied'
    if (origin.lineage !== this.current.doc.lineage) return 'foreign'
    if (origin.version < this.version) return 'older'
    if (origin.version > this.version) return 'applied'
    return origin.writeId === this.current.writeId ? 'same' : 'foreign'
  }

  /** Puts a configuration in force when it is higher and of the same lineage. */
  offer (held: HeldConfig): OfferResult {
    const result = this.compare({ lineage: held.doc.lineage, version: held.doc.version, writeId: held.writeId })
    if (result !== 'applied') return result
    this.current = held
    this.emit('applied', held)
    return result
  }
}
