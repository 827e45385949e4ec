import { createHmac } from 'node:crypto'
import type { PeerIdentity } from './PeerIdentity.js'

/** The two sides of a handshake in the order in which the proving side sees them. */
interface HandshakeSides {
  readonly prover: PeerIdentity
  readonly proverNonce: Buffer
  readonly verifierNonce: Buffer
  readonly verifierName: string
}

/** MAC with which a process proves that it holds the cluster key. */
export function createHandshakeMac (clusterKey: string, sides: HandshakeSides): Buffer {
  const mac = createHmac('sha256', clusterKey)
  for (const part of [sides.prover.name, sides.prover.role, String(sides.prover.incarnation), sides.verifierName]) {
    mac.update(`${Buffer.byteLength(part)}:${part}`)
  }
  return mac.update(sides.proverNonce).update(sides.verifierNonce).digest()
}
