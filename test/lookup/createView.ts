import type { ConfigDoc } from '../../src/model/ConfigDoc.js'
import type { Digest } from '../../src/model/Digest.js'
import type { Member } from '../../src/model/Member.js'
import type { View } from '../../src/model/View.js'

type MemberChange = Partial<Omit<Member, 'digest'>> & { readonly digest?: Partial<Digest> }

/** Creates a view in which every host of the document is alive and serving, with changes by host name. */
export function createView (doc: ConfigDoc, changes: Readonly<Record<string, MemberChange>> = {}): View {
  const members = doc.hosts.map(({ name, zone }, index): Member => {
    const digest: Digest = {
      host: name, entryIncarnation: 1_000 + index, seq: 1, appliedVersion: doc.version, serving: true, leaving: false, inFlight: 0, loads: [], leavingEndpoints: [], drainInFlight: {}, uses: []
    }
    const change = changes[name] ?? {}
    return { host: name, zone, incarnation: 1, seq: 1, state: 'alive', configVersion: doc.version, ...change, digest: { ...digest, ...change.digest } }
  })
  return { seq: 1, contactAgeMs: 0, configVersion: doc.version, isFirstStart: false, members, leavingEndpoints: [], leavingHosts: [] }
}
