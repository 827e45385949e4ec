import type { Clock } from '../common/Clock.js'
import type { Failure } from '../common/Failure.js'
import type { Logger } from '../common/Logger.js'
import type { ConfigStore } from './ConfigStore.js'
import { checkHead } from './checkHead.js'
import type { ConfigHolder } from './ConfigHolder.js'

interface ConfigReaderOptions {
  readonly store: ConfigStore
  readonly holder: ConfigHolder
  readonly clock: Clock
  readonly log: Logger
}

/** Pause in ms after a failed read, so that retries add no load during an outage of the platform. */
const failurePauseMs = 5_000

/** Reads the head from the platform and puts a higher version in force; refuses an older or foreign head. */
export class ConfigReader {
  private isReading = false
  private pausedUntilMs = -Infinity
  private lastFault: Failure | undefined
  private lastHeadAbsent = false
  private hasEndedRead = false

  constructor (private readonly options: ConfigReaderOptions) {}

  /** Failure of the last read; undefined when it succeeded. */
  get fault (): Failure | undefined {
    return this.lastFault
  }

  /** True once a read has succeeded or failed. */
  get hasResult (): boolean {
    return this.hasEndedRead
  }

  /** True when the last read succeeded and found no head, so no configuration was ever accepted. */
  get isPlatformEmpty (): boolean {
    return this.lastHeadAbsent
  }

  /** Reads the head unless another read is in progress or the pause after a failure has not ended. */
  async poll (): Promise<void> {
    const { clock } = this.options
    if (this.isReading || clock.nowMs() < this.pausedUntilMs) return
    this.isReading = true
    try {
      const failure = await this.read()
      this.recordFault(failure)
      if (failure?.name === 'platformUnavailable') this.pausedUntilMs = clock.nowMs() + failurePauseMs
    } finally {
      this.isReading = false
    }
  }

  private async read (): Promise<Failure | undefined> {
    const { store, holder } = this.options
    const observedVersion = holder.observedVersion
    const result = await store.readHead()
    if (result.isErr()) return result.error
    const checked = checkHead(result.value, holder, observedVersion)
    if (checked.isErr()) return checked.error
    const { head } = result.value
    this.lastHeadAbsent = head === undefined
    if (head === undefined || holder.compare(head) !== 'newer') return undefined
    const held = await store.readDoc(head)
    if (held.isErr()) return held.error
    holder.offer(held.value)
    return undefined
  }

  private recordFault (failure: Failure | undefined): void {
    if (failure?.name !== this.lastFault?.name) {
      const { log } = this.options
      if (failure === undefined) log.info('head-read-recovered')
      else log.warn('head-read-failed', { failure: failure.name, message: failure.message })
    }
    this.lastFault = failure
    this.hasEndedRead = true
  }
}
