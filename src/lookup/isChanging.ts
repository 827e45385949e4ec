import type { ConfigDoc } from '../model/ConfigDoc.js'
import type { Digest } from '../model/Digest.js'
import { MemberState } from '../model/MemberState.js'
import type { View } from '../model/View.js'

/** True while hosts come, go or take up a configuration, so that lookup responses should be asked for again soon. */
export function isChanging (doc: ConfigDoc, view: View): boolean {
  return view.members.some(({ state, digest, configVersion }) => {
    if (state === MemberState.dead) return false
    return state === MemberState.suspect || configVersion !== doc.version || digest === undefined || isTransitioning(digest, doc.version)
  })
}

/** The last digest of a process that has left stays until the next start and is no change any more. */
function isTransitioning ({ leaving, serving, inFlight, appliedVersion }: Digest, version: number): boolean {
  return leaving ? serving || inFlight > 0 : appliedVersion !== version
}
