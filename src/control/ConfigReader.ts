import type { Clock } from '../common/Clock.js'
import type { Failure } from '../common/Failure.js'
import type { Logger } from '../common/Logger.js'
import type { ConfigArchive } from './ConfigArchive.js'
import { checkHead } from './checkHead.js'
import type { ConfigHolder } from './ConfigHolder.js'

/** What a reader works with. */
interface ConfigReaderOptions {
  readonly archive: ConfigArchive
  readonly holder: ConfigHolder
  readonly clock: Clock
  readonly log: Logger
}

/** Pause after a failed read, so that an outage of the platform gets no extra load. */
const failurePauseMs = 5_000

/** Reads the head and puts a higher version in force; refuses a head that is older or foreign. */
export class ConfigReader {
  private reading = false
  private pausedUntilMs = -Infinity
  private lastFault: Failure | undefined
  private lastHeadAbsent = false

  constructor (private readonly options: ConfigReaderOptions) {}

  /** The reason why the platform's configuration is refused now; undefined when all is well. */
  get fault (): Failure | undefined {
    return this.lastFault
  }

  /** True when the last read succeeded and found no head: no configuration was ever accepted. */
  get isPlatformEmpty (): boolean {
    return this.lastHeadAbsent
  }

  /** Reads once unless a read is under way or a pause holds. */
  async poll (): Promise<void> {
    const { clock } = this.options
    if (this.reading || clock.nowMs() < this.pausedUntilMs) return
    this.reading = true
    try {
      const failure = await this.read()
      this.report(failure)
      if (failure?.name === 'platformUnavailable') this.pausedUntilMs = clock.nowMs() + failurePauseMs
    } finally {
      this.reading = false
    }
  }

  private async read (): Promise<Failure | undefined> {
    const { archive, holder } = this.options
    const heardVersion = holder.heardVersion
    const result = await archive.readHead()
    if (result.isErr()) return result.error
    const checked = checkHead(result.value, holder, heardVersion)
    if (checked.isErr()) return checked.error
    const { head } = result.value
    this.lastHeadAbsent = head === undefined
    if (head === undefined || holder.compare(head) !== 'applied') return undefined
    const held = await archive.readDoc(head)
    if (held.isErr()) return held.error
    holder.offer(held.value)
    return undefined
  }

  private report (failure: Failure | undefined): void {
    if (failure?.name !== this.lastFault?.name) {
      const { log } = this.options
      if (failure === undefined) log.info('head-read-recovered')
      else log.warn('head-read-failed', { failure: failure.name, message: failure.message })
    }
    this.lastFault = failure
  }
}
