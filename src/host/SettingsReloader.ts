import type { Result } from 'neverthrow'
import type { Logger } from '../common/Logger.js'
import { diffSettings } from './diffSettings.js'
import { hostLimits } from './hostLimits.js'
import type { HostSettings } from './HostSettings.js'

/** Dependencies of a reload. */
interface SettingsReloaderOptions {
  readonly initial: HostSettings
  /** Reads and validates the settings. */
  readonly read: () => Result<HostSettings, string>
  /** Returns a string that changes whenever the settings file is written; undefined when the file can't be inspected. */
  readonly readRevision: () => string | undefined
  /** Applies the fields that can change without a restart. */
  readonly apply: (settings: HostSettings) => void
  readonly logger: Logger
}

/** Trigger of a reload. */
type ReloadCause = 'signal' | 'file-changed'

/**
 * Applies changed settings without a restart, after a signal or when the settings file has been written. Invalid settings
 * are logged and the current ones stay in force.
 */
export class SettingsReloader {
  private current: HostSettings
  private revision: string | undefined
  private timer: NodeJS.Timeout | undefined

  constructor (private readonly options: SettingsReloaderOptions) {
    this.current = options.initial
    this.revision = options.readRevision()
  }

  /** Starts checking periodically whether the file has been written. */
  start (): void {
    this.timer = setInterval(() => this.check(), hostLimits.settingsCheckMs)
  }

  stop (): void {
    clearInterval(this.timer)
  }

  /** Reloads the settings if the file has been written since the last reload. */
  check (): void {
    const revision = this.options.readRevision()
    if (revision === undefined || revision === this.revision) return
    this.reload('file-changed')
  }

  reload (cause: ReloadCause): void {
    const { read, readRevision: readStamp, apply, logger } = this.options
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
