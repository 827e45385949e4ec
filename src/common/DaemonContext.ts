import type { Settings } from '../config/Settings.js'
import type { Clock } from './Clock.js'
import type { Logger } from './Logger.js'

/** Dependencies that `runDaemon` passes to a daemon. */
export interface DaemonContext {
  readonly settings: Settings
  readonly clock: Clock
  /** Creates the logger of a module. */
  readonly createModuleLogger: (module: string) => Logger
}
