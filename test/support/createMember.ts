import type { Digest } from '../../src/model/Digest.js'
import type { Member } from '../../src/model/Member.js'
import { MemberState } from '../../src/model/MemberState.js'
import { sampleDigest } from '../control/sampleDigest.js'

/** Builds an alive, serving member with a sample digest; `digest` and `change` override fields. */
export function createMember (host: string, digest: Partial<Digest> = {}, change: Partial<Member> = {}): Member {
  return {
    host,
    zone: host.slice(0, host.lastIndexOf('-')),
    incarnation: 1,
    seq: 1,
    state: MemberState.alive,
    configVersion: 1,
    digest: sampleDigest(host, digest),
    ...change
  }
}
