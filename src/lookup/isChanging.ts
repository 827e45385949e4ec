import type { ConfigDoc } from '../model/ConfigDoc.js'
import type { Digest } from '../model/Digest.js'
import { MemberState } from '../model/MemberState.js'
import type { View } from '../model/View.js'

/** Returns true while hosts join, leave or apply a configuration; lookup responses then get a short lifetime. */
export function isChanging (doc: ConfigDoc, view: View): boolean {
  return view.members.some(({ state, digest, configVersion }) => {
    if (state === MemberState.dead) return false
    return state === MemberState.suspect || configVersion !== doc.version || digest === undefined || isTransitioning(digest, doc.version)
  })
}

/** A stopped process keeps its last digest until its next start; this digest no longer counts as a change. */
function isTransitioning ({ leaving, serving, inFlight, appliedVersion }: Digest, version: number): boolean {
  return leaving ? serving || inFlight > 0 : appliedVersion !== version
}
