import { claimLimits } from './claimLimits.js'
import type { StoredAnswer } from './StoredAnswer.js'

/** A witness's copy of a home's record of a key. */
interface ClaimCopy {
  readonly fingerprint: string
  readonly state: 'running' | 'done' | 'unknown'
  readonly answer?: StoredAnswer | undefined
  readonly copiedAtMs: number
}

/**
 * Copies that this host holds as a witness for other homes. They are used to replay answers and never to grant a key,
 * so the oldest ones may be dropped at any time.
 */
export class CopyTable {
  private readonly copies = new Map<string, ClaimCopy>()
  private bytes = 0

  constructor (
    private readonly maxCopies: number = claimLimits.maxClaims,
    private readonly maxBytes: number = claimLimits.maxAnswerBytes
  ) {}

  get size (): number {
    return this.copies.size
  }

  get (id: string): ClaimCopy | undefined {
    return this.copies.get(id)
  }

  set (id: string, copy: ClaimCopy): void {
    if (this.copies.get(id)?.state === 'done' && copy.state !== 'done') return
    this.delete(id)
    this.copies.set(id, copy)
    this.bytes += copy.answer?.body.length ?? 0
    for (const oldest of this.copies.keys()) {
      if (this.copies.size <= this.maxCopies && this.bytes <= this.maxBytes) break
      this.delete(oldest)
    }
  }

  delete (id: string): void {
    this.bytes -= this.copies.get(id)?.answer?.body.length ?? 0
    this.copies.delete(id)
  }

  sweep (nowMs: number): void {
    for (const [id, { copiedAtMs }] of this.copies) {
      if (nowMs - copiedAtMs < claimLimits.recordRetentionMs) break
      this.delete(id)
    }
  }
}
