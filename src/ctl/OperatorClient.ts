import { setTimeout as sleep } from 'node:timers/promises'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { z } from 'zod'
import type { Clock } from '../common/Clock.js'
import { responseSchemas } from './responseSchemas.js'
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
  readonly onNotice: (text: string) => void
}

/** A request without its host. */
interface OperatorRequest {
  readonly method: string
  /** Path below `/admin/v1/`. */
  readonly path: string
  readonly body?: unknown
}

type Receipt = z.infer<typeof responseSchemas.receipt>

/** A read is answered from memory. */
const readAttemptTimeoutMs = 3_000

/** A host settles a lost answer of the platform within 5 s by itself. */
const writeAttemptTimeoutMs = 7_000

const retryDelayMs = 300

/** Results with which another host may do better: it may reach the platform or hold a configuration. */
const hostDependentResults = ['platformUnavailable', 'noConfiguration', 'notReady', 'peerUnreachable', 'peerTimeout', 'internal']

/** What the hosts know of a write. */
type WriteOutcome = z.infer<typeof responseSchemas.outcome>

/** Calls the operators' interface of the first host that answers. */
export class OperatorClient {
  constructor (private readonly options: OperatorClientOptions) {}

  get hosts (): readonly string[] {
    return this.options.hosts
  }

  /** Reads from the first host that can response. */
  async read<T> (path: string, schema: z.ZodType<T>): Promise<Result<T, CommandFailure>> {
    return (await this.tryHosts({ method: 'GET', path }, readAttemptTimeoutMs)).andThen((text) => parseResponse(text, schema))
  }

  /** Sends a request that changes nothing, such as `explain` or a dry run. */
  async query<T> (request: OperatorRequest, schema: z.ZodType<T>): Promise<Result<T, CommandFailure>> {
    return (await this.tryHosts(request, writeAttemptTimeoutMs)).andThen((text) => parseResponse(text, schema))
  }

  /** Reads a text page from one host. */
  async readTextFrom (address: string, path: string): Promise<Result<string, CommandFailure>> {
    return toResult(await this.call(address, { method: 'GET', path }, readAttemptTimeoutMs), address)
  }

  /** Reads from one host. */
  async readFrom<T> (address: string, path: string, schema: z.ZodType<T>): Promise<Result<T, CommandFailure>> {
    return (await this.readTextFrom(address, path)).andThen((text) => parseResponse(text, schema))
  }

  /**
   * Makes a change under one write id. When an answer is lost, the hosts are asked for the outcome, and the change is
   * sent again under the same id, which the system applies at most once. Fails with `unknown` when time runs out first.
   */
  async write (request: OperatorRequest, writeId: string): Promise<Result<Receipt, CommandFailure>> {
    const deadlineMs = this.options.clock.nowMs() + this.options.timeoutMs
    let mayHaveApplied = false
    let lastFailure: CommandFailure = createNoHostFailure(this.options.hosts)
    for (let index = 0; ; index++) {
      const address = this.options.hosts[index % this.options.hosts.length]!
      const reply = await this.call(address, request, this.limitTimeout(deadlineMs, writeAttemptTimeoutMs))
      const result = toResult(reply, address)
      if (result.isOk()) return parseResponse(result.value, responseSchemas.receipt).mapErr((failure) => ({ ...failure, exit: 'unknown', next: adviseOutcomeQuery(writeId) }))
      lastFailure = result.error
      mayHaveApplied ||= reply.kind === 'lost' || lastFailure.exit === 'unknown'
      // A definite refusal after a lost answer may be caused by the change itself, which is then found in the log.
      if (mayHaveApplied) {
        const outcome = await this.findWriteOutcome(writeId, this.options.hosts.slice(0, index + 1))
        if (outcome.isOk() && outcome.value.receipt !== undefined) return ok(outcome.value.receipt)
        if (outcome.isOk() && outcome.value.outcome === 'not-run') mayHaveApplied = false
      } else if (!isHostDependent(reply, lastFailure)) {
        return err(lastFailure)
      }
      const triedAllHosts = index + 1 >= this.options.hosts.length
      if (this.options.clock.nowMs() + retryDelayMs >= deadlineMs || (triedAllHosts && !mayHaveApplied)) break
      this.options.onNotice(`${address}: ${lastFailure.message} Trying ${this.options.hosts[(index + 1) % this.options.hosts.length]}.`)
      if (triedAllHosts) await sleep(retryDelayMs)
    }
    return err(mayHaveApplied ? { ...lastFailure, exit: 'unknown', next: adviseOutcomeQuery(writeId) } : lastFailure)
  }

  /**
   * Asks all hosts what became of a write until one has it accepted. A host's `not-run` speaks only for itself: another
   * one that was asked to make the write may still do so. So the outcome is `not-run` when all of `tried` say so.
   */
  async findWriteOutcome (writeId: string, attemptedHosts: readonly string[] = this.options.hosts): Promise<Result<WriteOutcome, CommandFailure>> {
    let result: Result<WriteOutcome, CommandFailure> = err(createNoHostFailure(this.options.hosts))
    const notRunHosts = new Set<string>()
    for (const address of this.options.hosts) {
      const response = await this.readFrom(address, `writes/${encodeURIComponent(writeId)}`, responseSchemas.outcome)
      if (response.isOk() && response.value.outcome === 'accepted') return response
      if (response.isOk() && response.value.outcome === 'not-run') notRunHosts.add(address)
      if (response.isOk() || result.isErr()) result = response
    }
    const isCertain = attemptedHosts.every((address) => notRunHosts.has(address))
    return result.map((response) => ({ ...response, outcome: isCertain ? 'not-run' : 'unknown' }))
  }

  private async tryHosts (request: OperatorRequest, attemptTimeoutMs: number): Promise<Result<string, CommandFailure>> {
    const deadlineMs = this.options.clock.nowMs() + this.options.timeoutMs
    let lastFailure: CommandFailure = createNoHostFailure(this.options.hosts)
    for (const [index, address] of this.options.hosts.entries()) {
      const reply = await this.call(address, request, this.limitTimeout(deadlineMs, attemptTimeoutMs))
      const result = toResult(reply, address)
      if (result.isOk()) return result
      // A refusal says more than a host that can't be reached.
      if (lastFailure.code === undefined || result.error.code !== undefined) lastFailure = result.error
      if (!isHostDependent(reply, result.error) || this.options.clock.nowMs() >= deadlineMs) break
      if (index + 1 < this.options.hosts.length) this.options.onNotice(`${address}: ${result.error.message} Trying ${this.options.hosts[index + 1]}.`)
    }
    return err(lastFailure)
  }

  private async call (address: string, { method, path, body }: OperatorRequest, timeoutMs: number): Promise<HostReply> {
    const { credential, tls } = this.options
    return await callHost({ address, method, path: `/admin/v1/${path}`, body, credential, tls, timeoutMs })
  }

  private limitTimeout (deadlineMs: number, attemptTimeoutMs: number): number {
    return Math.max(1, Math.min(attemptTimeoutMs, Math.ceil(deadlineMs - this.options.clock.nowMs())))
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

function parseResponse<T> (text: string, schema: z.ZodType<T>): Result<T, CommandFailure> {
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

function createNoHostFailure (hosts: readonly string[]): CommandFailure {
  return { exit: 'unreachable', message: `None of the hosts answered: ${hosts.join(', ')}.`, next: 'Name other hosts with --hosts or SHUNT_HOSTS.' }
}

function adviseOutcomeQuery (writeId: string): string {
  return `Ask for the outcome with "shuntctl write ${writeId}"; don't repeat the change before.`
}
