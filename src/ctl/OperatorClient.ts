import { setTimeout as sleep } from 'node:timers/promises'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { z } from 'zod'
import type { Clock } from '../common/Clock.js'
import { answers } from './answers.js'
import { callHost } from './callHost.js'
import type { CommandFailure } from './CommandFailure.js'
import type { HostReply } from './HostReply.js'
import { toCommandFailure } from './toCommandFailure.js'

/** How to reach the operators' interface. */
interface OperatorClientOptions {
  /** Addresses (`a.b.c.d:port`) in the order in which they are tried. */
  readonly hosts: readonly string[]
  readonly credential: string
  readonly tls: string | true | undefined
  /** Time in ms for a whole read or write over all hosts. */
  readonly timeoutMs: number
  readonly clock: Clock
  /** Tells the operator about a host that is passed over. */
  readonly onNote: (text: string) => void
}

/** A request without its host. */
interface Call {
  readonly method: string
  /** Path below `/admin/v1/`. */
  readonly path: string
  readonly body?: unknown
}

type Receipt = z.infer<typeof answers.receipt>

/** A read is answered from memory. */
const readTryMs = 3_000

/** A host settles a lost answer of the platform within 5 s by itself. */
const writeTryMs = 7_000

const settlePauseMs = 300

/** Results with which another host may do better: it may reach the platform or hold a configuration. */
const hostDependentResults = ['platformUnavailable', 'noConfiguration', 'notReady', 'peerUnreachable', 'peerTimeout', 'internal']

/** What the hosts know of a write. */
type SettledWrite = z.infer<typeof answers.outcome>

/** Calls the operators' interface of the first host that answers. */
export class OperatorClient {
  constructor (private readonly options: OperatorClientOptions) {}

  get hosts (): readonly string[] {
    return this.options.hosts
  }

  /** Reads from the first host that can answer. */
  async read<T> (path: string, schema: z.ZodType<T>): Promise<Result<T, CommandFailure>> {
    return (await this.tryHosts({ method: 'GET', path }, readTryMs)).andThen((text) => parseAnswer(text, schema))
  }

  /** Sends a request that changes nothing, such as `explain` or a dry run. */
  async ask<T> (call: Call, schema: z.ZodType<T>): Promise<Result<T, CommandFailure>> {
    return (await this.tryHosts(call, writeTryMs)).andThen((text) => parseAnswer(text, schema))
  }

  /** Reads a text page from one host. */
  async readText (address: string, path: string): Promise<Result<string, CommandFailure>> {
    return toResult(await this.call(address, { method: 'GET', path }, readTryMs), address)
  }

  /** Reads from one host. */
  async readFrom<T> (address: string, path: string, schema: z.ZodType<T>): Promise<Result<T, CommandFailure>> {
    return (await this.readText(address, path)).andThen((text) => parseAnswer(text, schema))
  }

  /**
   * Makes a change under one write id. When an answer is lost, the hosts are asked for the outcome, and the change is
   * sent again under the same id, which the system applies at most once. Fails with `unknown` when time runs out first.
   */
  async write (call: Call, writeId: string): Promise<Result<Receipt, CommandFailure>> {
    const endMs = this.options.clock.nowMs() + this.options.timeoutMs
    let doubtful = false
    let last: CommandFailure = describeNoHost(this.options.hosts)
    for (let index = 0; ; index++) {
      const address = this.options.hosts[index % this.options.hosts.length]!
      const reply = await this.call(address, call, this.limitTime(endMs, writeTryMs))
      const result = toResult(reply, address)
      if (result.isOk()) return parseAnswer(result.value, answers.receipt).mapErr((failure) => ({ ...failure, exit: 'unknown', next: adviseSettle(writeId) }))
      last = result.error
      doubtful ||= reply.kind === 'lost' || last.exit === 'unknown'
      // A definite refusal after a lost answer may be caused by the change itself, which is then found in the log.
      if (doubtful) {
        const outcome = await this.settle(writeId, this.options.hosts.slice(0, index + 1))
        if (outcome.isOk() && outcome.value.receipt !== undefined) return ok(outcome.value.receipt)
        if (outcome.isOk() && outcome.value.outcome === 'not-run') doubtful = false
      } else if (!isHostDependent(reply, last)) {
        return err(last)
      }
      const wentRound = index + 1 >= this.options.hosts.length
      if (this.options.clock.nowMs() + settlePauseMs >= endMs || (wentRound && !doubtful)) break
      this.options.onNote(`${address}: ${last.message} Trying ${this.options.hosts[(index + 1) % this.options.hosts.length]}.`)
      if (wentRound) await sleep(settlePauseMs)
    }
    return err(doubtful ? { ...last, exit: 'unknown', next: adviseSettle(writeId) } : last)
  }

  /**
   * Asks all hosts what became of a write until one has it accepted. A host's `not-run` speaks only for itself: another
   * one that was asked to make the write may still do so. So the outcome is `not-run` when all of `tried` say so.
   */
  async settle (writeId: string, tried: readonly string[] = this.options.hosts): Promise<Result<SettledWrite, CommandFailure>> {
    let result: Result<SettledWrite, CommandFailure> = err(describeNoHost(this.options.hosts))
    const denied = new Set<string>()
    for (const address of this.options.hosts) {
      const answer = await this.readFrom(address, `writes/${encodeURIComponent(writeId)}`, answers.outcome)
      if (answer.isOk() && answer.value.outcome === 'accepted') return answer
      if (answer.isOk() && answer.value.outcome === 'not-run') denied.add(address)
      if (answer.isOk() || result.isErr()) result = answer
    }
    const isCertain = tried.every((address) => denied.has(address))
    return result.map((answer) => ({ ...answer, outcome: isCertain ? 'not-run' : 'unknown' }))
  }

  private async tryHosts (call: Call, tryMs: number): Promise<Result<string, CommandFailure>> {
    const endMs = this.options.clock.nowMs() + this.options.timeoutMs
    let last: CommandFailure = describeNoHost(this.options.hosts)
    for (const [index, address] of this.options.hosts.entries()) {
      const reply = await this.call(address, call, this.limitTime(endMs, tryMs))
      const result = toResult(reply, address)
      if (result.isOk()) return result
      // A refusal says more than a host that can't be reached.
      if (last.code === undefined || result.error.code !== undefined) last = result.error
      if (!isHostDependent(reply, result.error) || this.options.clock.nowMs() >= endMs) break
      if (index + 1 < this.options.hosts.length) this.options.onNote(`${address}: ${result.error.message} Trying ${this.options.hosts[index + 1]}.`)
    }
    return err(last)
  }

  private async call (address: string, { method, path, body }: Call, timeoutMs: number): Promise<HostReply> {
    const { credential, tls } = this.options
    return await callHost({ address, method, path: `/admin/v1/${path}`, body, credential, tls, timeoutMs })
  }

  private limitTime (endMs: number, tryMs: number): number {
    return Math.max(1, Math.min(tryMs, Math.ceil(endMs - this.options.clock.nowMs())))
  }
}

function isHostDependent (reply: HostReply, failure: CommandFailure): boolean {
  return reply.kind !== 'answer' || hostDependentResults.includes(failure.name ?? '')
}

function toResult (reply: HostReply, address: string): Result<string, CommandFailure> {
  if (reply.kind !== 'answer') {
    return err({ exit: 'unreachable', message: `${address} did not answer (${reply.message}).`, next: 'Name other hosts with --hosts or SHUNT_HOSTS, and check the network and the port.' })
  }
  return reply.status === 200 ? ok(reply.text) : err(toCommandFailure(reply.status, parseJson(reply.text)))
}

function parseAnswer<T> (text: string, schema: z.ZodType<T>): Result<T, CommandFailure> {
  const parsed = schema.safeParse(parseJson(text))
  if (parsed.success) return ok(parsed.data)
  const [issue] = parsed.error.issues
  return err({
    exit: 'internal',
    message: `The answer of the host is not understood at "${issue?.path.join('.') ?? ''}": ${issue?.message ?? 'unknown fault'}.`,
    next: 'Use the same version of shuntctl as of the hosts.'
  })
}

function parseJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}

function describeNoHost (hosts: readonly string[]): CommandFailure {
  return { exit: 'unreachable', message: `None of the hosts answered: ${hosts.join(', ')}.`, next: 'Name other hosts with --hosts or SHUNT_HOSTS.' }
}

function adviseSettle (writeId: string): string {
  return `Ask for the outcome with "shuntctl write ${writeId}"; don't repeat the change before.`
}
