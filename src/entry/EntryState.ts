import { VersionDenialPolicy } from '../common/VersionDenialPolicy.js'
import type { ConfigDoc } from '../model/ConfigDoc.js'
import { RouteTable } from './RouteTable.js'

const noHeaders: readonly string[] = []
const leavingHeaders: readonly string[] = ['Shunt-Leaving', '1']

/** State shared by the request handlers of a process: the configuration in force and whether the host is leaving. */
export class EntryState {
  /** Decides whether the configuration in force may deny a request. */
  readonly denials = new VersionDenialPolicy()
  private doc: ConfigDoc | undefined
  private table: RouteTable | undefined
  /** True once a planned stop or a drain of the host has begun. */
  isLeaving = false
  /** True once callers have had time to receive lookup results without this host; new requests are refused from then on. */
  refusesRequests = false

  setConfig (doc: ConfigDoc): void {
    this.doc = doc
    this.denials.setVersion(doc.version)
    this.table = new RouteTable(doc)
  }

  get config (): ConfigDoc | undefined {
    return this.doc
  }

  get routes (): RouteTable | undefined {
    return this.table
  }

  /** Headers to add to each response in the current state, names and values in turn. */
  get responseHeaders (): readonly string[] {
    return this.isLeaving ? leavingHeaders : noHeaders
  }
}
