import type { Result } from 'neverthrow'
import type { Logger } from '../common/Logger.js'
import { diffSettings } from './diffSettings.js'
import { hostLimits } from './hostLimits.js'
import type { HostSettings } from './HostSettings.js'

/** What a reload of the settings needs. */
interface SettingsReloaderOptions {
  readonly initial: HostSettings
  /** Reads and checks the settings again. */
  readonly read: () => Result<HostSettings, string>
  /** A text that differs once the source of the settings has been written; undefined when it can't be looked at. */
  readonly readStamp: () => string | undefined
  /** Brings the fields into force that a running process can take over. */
  readonly apply: (settings: HostSettings) => void
  readonly logger: Logger
}

/** Why the settings are read again. */
type ReloadCause = 'signal' | 'file-changed'

/**
 * Takes over changed settings without a restart, after a signal or when their file has been written. Settings that are
 * wrong leave those in force as they are.
 */
export class SettingsReloader {
  private current: HostSettings
  private revision: string | undefined
  private timer: NodeJS.Timeout | undefined

  constructor (private readonly options: SettingsReloaderOptions) {
    this.current = options.initial
    this.revision = options.readStamp()
  }

  /** Looks for silent changes from now on. */
  start (): void {
    this.timer = setInterval(() => this.check(), hostLimits.settingsCheckMs)
  }

  stop (): void {
    clearInterval(this.timer)
  }

  /** Reads the settings again if their file has been written since. */
  check (): void {
    const revision = this.options.readStamp()
    if (revision === undefined || revision === this.revision) return
    this.reload('file-changed')
  }

  reload (cause: ReloadCause): void {
    const { read, readStamp, apply, logger } = this.options
    this.revision = readStamp() ?? this.revision
    const next = read()
    if (next.isErr()) {
      logger.error('reload-failed', { cause, message: next.error })
      return
    }
    const changes = diffSettings(this.current, next.value)
    const { bounds, seeds, regionOfZone, linkMbps } = next.value
    this.current = { ...this.current, bounds, seeds, regionOfZone, linkMbps }
    if (changes.some((change) => change.isReloadable)) apply(this.current)
    for (const { field, from, to, isReloadable } of changes) logger.info('setting-changed', { field, from, to, inForce: isReloadable })
    logger.info('reload', { cause, changed: changes.length, needRestart: changes.filter((change) => !change.isReloadable).length })
  }
}
