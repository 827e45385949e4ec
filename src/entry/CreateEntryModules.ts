import type { Clock } from '../common/Clock.js'
import type { PeerMessenger } from '../common/PeerMessenger.js'
import type { EntryModules } from './EntryModules.js'

/** Makes the modules of a process. */
export type CreateEntryModules = (base: {
  readonly host: string
  readonly incarnation: number
  readonly clock: Clock
  readonly messenger: PeerMessenger
}) => EntryModules
