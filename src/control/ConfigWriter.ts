import { randomBytes } from 'node:crypto'
import { setTimeout as sleep } from 'node:timers/promises'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { Clock } from '../common/Clock.js'
import { createFailure } from '../common/createFailure.js'
import type { Failure } from '../common/Failure.js'
import type { Logger } from '../common/Logger.js'
import { Outcome } from '../common/Outcome.js'
import type { AppliedChange } from './AppliedChange.js'
import { applyChange } from './applyChange.js'
import type { ChangeContext } from './ChangeContext.js'
import { checkHead } from './checkHead.js'
import type { ConfigStore } from './ConfigStore.js'
import type { ConfigHead } from './ConfigHead.js'
import type { ConfigHolder } from './ConfigHolder.js'
import type { HeldConfig } from './HeldConfig.js'
import type { PlatformHead } from './PlatformHead.js'
import { resolveWriteOutcome } from './resolveWriteOutcome.js'
import type { WriteOutcome } from './WriteOutcome.js'
import type { WriteReceipt } from './WriteReceipt.js'
import type { WriteRequest } from './WriteRequest.js'

interface ConfigWriterOptions {
  readonly store: ConfigStore
  readonly holder: ConfigHolder
  readonly clock: Clock
  readonly log: Logger
  /** Returns the state of hosts and upstreams at the time of a change. */
  readonly getContext: () => Omit<ChangeContext, 'by' | 'wallMs' | 'log'>
  /** Called after the head was updated and the document was put in force on this host. */
  readonly onAccepted: (held: HeldConfig) => void
  /** Time limit in ms for a write, including the time to resolve its outcome. Default: 5000. */
  readonly budgetMs?: number
}

/** A head and the document that it names, on which a change is based. */
interface BaseConfig {
  readonly platformHead: PlatformHead
  readonly held: HeldConfig | undefined
}

/** A conditional update of the head that was sent to the platform. */
interface SentUpdate {
  readonly rowVersion: number
  readonly head: ConfigHead
}

const maxLogEntries = 64
const maxRecordedWrites = 256
const maxQueuedWrites = 64
const defaultBudgetMs = 5_000
const retryDelayMs = 150
const suffixBytes = 4

/**
 * Writes configurations: first the object, then the head by compare-and-set. When a response is lost, the same
 * conditional update, which can take effect at most once, is sent again, and the write ids in the head's log show the outcome.
 */
export class ConfigWriter {
  private queue: Promise<unknown> = Promise.resolve()
  private queuedWrites = 0
  private readonly unconfirmed = new Map<string, SentUpdate>()
  /** Ids of writes that were refused on this host and certainly had no effect. */
  private readonly refusedWriteIds = new Set<string>()

  constructor (private readonly options: ConfigWriterOptions) {}

  /**
   * Applies a change; a retry with the same write id returns the first outcome.
   * Failures: those of `applyChange`, `platformUnavailable`, `writeUnknown`, `configRolledBack`.
   */
  async write (request: WriteRequest): Promise<Result<WriteReceipt, Failure>> {
    if (this.queuedWrites >= maxQueuedWrites) {
      return err(createFailure('platformUnavailable', {
        message: 'Too many changes are queued on this host; retry later or use another host.', retryAfterMs: 1_000
      }))
    }
    this.queuedWrites += 1
    const result = this.queue.then(async () => this.recordRefusal(request.writeId, await this.run(request)))
    this.queue = result.catch(() => undefined).finally(() => { this.queuedWrites -= 1 })
    return await result
  }

  /** Returns the result of a change without writing it. */
  async preview (request: WriteRequest): Promise<Result<AppliedChange, Failure>> {
    const base = await this.readBase()
    return base.andThen((value) => this.computeChange(value, request))
  }

  /** Returns the outcome of a write; `not-run` covers only the attempts on this host. Failures: `platformUnavailable`, `configRolledBack`. */
  async findOutcome (writeId: string): Promise<Result<WriteOutcome, Failure>> {
    const platformHead = await this.options.store.readHead()
    if (platformHead.isErr()) return err(platformHead.error)
    const sent = this.unconfirmed.get(writeId)
    const isLogged = platformHead.value.head?.log.some((entry) => entry.writeId === writeId) === true
    if (!isLogged && sent === undefined && this.refusedWriteIds.has(writeId)) return ok({ outcome: 'not-run' })
    // Without a record of the attempt, a write that is still in transit cannot be ruled out.
    const attempt = sent === undefined
      ? { writeId, rowVersion: Infinity, version: 0 }
      : { writeId, rowVersion: sent.rowVersion, version: sent.head.version }
    return ok(resolveWriteOutcome(attempt, platformHead.value))
  }

  private async run (request: WriteRequest): Promise<Result<WriteReceipt, Failure>> {
    const { clock, budgetMs = defaultBudgetMs } = this.options
    const deadlineMs = clock.nowMs() + budgetMs
    while (clock.nowMs() < deadlineMs) {
      const base = await this.readBase()
      if (base.isErr()) return err(base.error)
      const logged = base.value.platformHead.head?.log.find(({ writeId }) => writeId === request.writeId)
      if (logged !== undefined) return ok(logged)
      const change = this.computeChange(base.value, request)
      if (change.isErr()) return err(change.error)
      const result = await this.commit(base.value.platformHead, request, change.value, deadlineMs)
      if (result !== 'conflict') return result
    }
    return err(createFailure('platformUnavailable', {
      message: 'Concurrent writes caused repeated conflicts; nothing was changed. Retry the change.', retryAfterMs: 1_000
    }))
  }

  private computeChange ({ platformHead, held }: BaseConfig, request: WriteRequest): Result<AppliedChange, Failure> {
    return applyChange(held?.doc, request.change, {
      ...this.options.getContext(),
      by: request.by,
      wallMs: this.options.clock.wallMs(),
      log: platformHead.head?.log ?? []
    })
  }

  private async readBase (): Promise<Result<BaseConfig, Failure>> {
    const { store, holder } = this.options
    const observedVersion = holder.observedVersion
    const platformHead = await store.readHead()
    if (platformHead.isErr()) return err(platformHead.error)
    const checked = checkHead(platformHead.value, holder, observedVersion)
    if (checked.isErr()) return err(checked.error)
    const { head } = platformHead.value
    if (head === undefined) return ok({ platformHead: platformHead.value, held: undefined })
    if (holder.compare(head) !== 'same') {
      const held = await store.readDoc(head)
      if (held.isErr()) return err(held.error)
      holder.offer(held.value)
    }
    // The agent may have pulled a newer version while the head was being read; an update based on this head would conflict.
    if (holder.compare(head) !== 'same') return await this.readBase()
    return ok({ platformHead: platformHead.value, held: holder.held })
  }

  private async commit (
    base: PlatformHead, request: WriteRequest, { doc, change }: AppliedChange, deadlineMs: number
  ): Promise<Result<WriteReceipt, Failure> | 'conflict'> {
    const { store } = this.options
    const { writeId, by } = request
    const object = `config/${doc.version}-${writeId}-${randomBytes(suffixBytes).toString('hex')}`
    const stored = await store.writeDoc(object, doc)
    if (stored.isErr()) return err(createFailure('platformUnavailable', { message: `The document was not stored; nothing was changed. ${stored.error.message}` }))
    const receipt = { version: doc.version, writeId, by, change }
    const log = [...base.head?.log ?? [], receipt].slice(-maxLogEntries)
    const sent = { rowVersion: base.rowVersion, head: { lineage: doc.lineage, version: doc.version, object, writeId, log } }
    const result = await this.sendUpdate(sent, deadlineMs)
    if (result !== 'conflict' && result.isOk()) this.applyAccepted({ doc, writeId }, receipt)
    return result === 'conflict' ? result : result.map(() => receipt)
  }

  /** Sends the same conditional update until its outcome is certain or the deadline passes. */
  private async sendUpdate (sent: SentUpdate, deadlineMs: number): Promise<Result<void, Failure> | 'conflict'> {
    const { store, clock } = this.options
    const { writeId, version } = sent.head
    let mayBeWritten = false
    for (;;) {
      const reply = await store.updateHead(sent.rowVersion, sent.head)
      if (reply.isOk() && reply.value === 'updated') return this.clearUnconfirmed(writeId, ok(undefined))
      if (reply.isOk() && reply.value !== 'updated') {
        const { outcome } = resolveWriteOutcome({ writeId, rowVersion: sent.rowVersion, version }, reply.value)
        if (outcome === 'accepted') return this.clearUnconfirmed(writeId, ok(undefined))
        if (outcome === 'not-run' || !mayBeWritten) return this.clearUnconfirmed(writeId, 'conflict')
      }
      if (reply.isErr() && reply.error.outcome === Outcome.notRun && !mayBeWritten) return err(reply.error)
      mayBeWritten ||= reply.isErr() && reply.error.outcome === Outcome.unknown
      if (mayBeWritten) this.recordUnconfirmed(writeId, sent)
      if (clock.nowMs() + retryDelayMs >= deadlineMs) return err(createUnknownFailure(writeId))
      await sleep(retryDelayMs)
    }
  }

  private applyAccepted (held: HeldConfig, { version, writeId, by, change }: WriteReceipt): void {
    const { holder, log, onAccepted } = this.options
    log.info('config-accepted', { version, writeId, by, change })
    holder.offer(held)
    onAccepted(held)
  }

  private clearUnconfirmed<T> (writeId: string, result: T): T {
    this.unconfirmed.delete(writeId)
    return result
  }

  private recordUnconfirmed (writeId: string, sent: SentUpdate): void {
    this.unconfirmed.set(writeId, sent)
    evictOldest(this.unconfirmed)
  }

  private recordRefusal (writeId: string, result: Result<WriteReceipt, Failure>): Result<WriteReceipt, Failure> {
    this.refusedWriteIds.delete(writeId)
    if (result.isErr() && result.error.outcome === Outcome.notRun) this.refusedWriteIds.add(writeId)
    evictOldest(this.refusedWriteIds)
    return result
  }
}

function evictOldest (records: Map<string, unknown> | Set<string>): void {
  const [oldest] = records.keys()
  if (records.size > maxRecordedWrites && oldest !== undefined) records.delete(oldest)
}

function createUnknownFailure (writeId: string): Failure {
  return createFailure('writeUnknown', {
    outcome: Outcome.unknown,
    message: `The platform did not confirm write "${writeId}". Send GET /admin/v1/writes/${writeId}, or retry the change with the same write id; it takes effect at most once.`
  })
}
