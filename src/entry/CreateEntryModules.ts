import type { Clock } from '../common/Clock.js'
import type { PeerMessenger } from '../common/PeerMessenger.js'
import type { EntryModules } from './EntryModules.js'

/** Creates the policy modules of an entry process. */
export type CreateEntryModules = (base: {
  readonly host: string
  readonly incarnation: number
  readonly clock: Clock
  readonly messenger: PeerMessenger
}) => EntryModules
