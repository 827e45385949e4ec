import { createHmac } from 'node:crypto'
import type { PeerIdentity } from './PeerIdentity.js'

/** The two ends of a handshake: the process that proves possession of the key and the one that verifies the proof. */
interface HandshakeParties {
  readonly prover: PeerIdentity
  readonly proverNonce: Buffer
  readonly verifierNonce: Buffer
  readonly verifierName: string
}

/** Computes the MAC by which a process proves that it holds the cluster key. */
export function createHandshakeMac (clusterKey: string, parties: HandshakeParties): Buffer {
  const mac = createHmac('sha256', clusterKey)
  for (const part of [parties.prover.name, parties.prover.role, String(parties.prover.incarnation), parties.verifierName]) {
    mac.update(`${Buffer.byteLength(part)}:${part}`)
  }
  return mac.update(parties.proverNonce).update(parties.verifierNonce).digest()
}
