import type { Peer } from './Peer.js'

/** Creates the state of a peer that nothing is known of. */
export function createPeer (host: string): Peer {
  return {
    host,
    watchedSinceMs: -Infinity,
    watched: false,
    lastAckMs: -Infinity,
    lastFrameMs: -Infinity,
    lastIndirectAckMs: -Infinity,
    lastProbeMs: -Infinity,
    lastSentMs: -Infinity,
    lastReportedDownMs: -Infinity,
    epoch: 0,
    receivedUpTo: 0,
    confirmedUpTo: 0,
    checkedUpTo: 0,
    linkDownHosts: new Set<string>(),
    linkDownZones: new Set<string>()
  }
}
