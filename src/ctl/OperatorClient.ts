import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { z } from 'zod'
import type { Clock } from '../common/Clock.js'
import { sleep } from '../common/sleep.js'
import { responseSchemas } from './responseSchemas.js'
import { callHost } from './callHost.js'
import type { CommandFailure } from './CommandFailure.js'
import type { HostReply } from './HostReply.js'
import { toCommandFailure } from './toCommandFailure.js'

/** Hosts, credential and limits of an operator client. */
interface OperatorClientOptions {
  /** Addresses (`a.b.c.d:port`), tried in this order. */
  readonly hosts: readonly string[]
  readonly credential: string
  readonly tls: string | true | undefined
  /** Time limit in ms for a read or write, including the attempts at all hosts. */
  readonly timeoutMs: number
  readonly clock: Clock
  /** Receives a notice for the operator when a request fails at one host and continues with the next. */
  readonly onNotice: (text: string) => void
}

/** A request that can be sent to any host. */
interface OperatorRequest {
  readonly method: string
  /** Path below `/admin/v1/`. */
  readonly path: string
  readonly body?: unknown
}

type Receipt = z.infer<typeof responseSchemas.receipt>

/** Short, because hosts serve reads from memory. */
const readAttemptTimeoutMs = 3_000

/** Longer than the 5 s within which a host itself resolves a write whose response from the platform was lost. */
const writeAttemptTimeoutMs = 7_000

const retryDelayMs = 300

/** Results that depend on the host: another host may reach the platform or have a configuration. */
const hostDependentResults = ['platformUnavailable', 'noConfiguration', 'notReady', 'peerUnreachable', 'peerTimeout', 'internal']

/** Outcome of a write, as reported by the hosts. */
type WriteOutcome = z.infer<typeof responseSchemas.outcome>

/** Sends requests to the operators' interface of the first host that responds. */
export class OperatorClient {
  constructor (private readonly options: OperatorClientOptions) {}

  get hosts (): readonly string[] {
    return this.options.hosts
  }

  /** Reads from the first host that can serve the request. */
  async read<T> (path: string, schema: z.ZodType<T>): Promise<Result<T, CommandFailure>> {
    return (await this.tryHosts({ method: 'GET', path }, readAttemptTimeoutMs)).andThen((text) => parseResponse(text, schema))
  }

  /** Sends a request without side effects, such as `explain` or a dry run. */
  async query<T> (request: OperatorRequest, schema: z.ZodType<T>): Promise<Result<T, CommandFailure>> {
    return (await this.tryHosts(request, writeAttemptTimeoutMs)).andThen((text) => parseResponse(text, schema))
  }

  /** Reads a response as text from one host. */
  async readTextFrom (address: string, path: string): Promise<Result<string, CommandFailure>> {
    return toResult(await this.call(address, { method: 'GET', path }, readAttemptTimeoutMs), address)
  }

  /** Reads from one host. */
  async readFrom<T> (address: string, path: string, schema: z.ZodType<T>): Promise<Result<T, CommandFailure>> {
    return (await this.readTextFrom(address, path)).andThen((text) => parseResponse(text, schema))
  }

  /**
   * Sends a change with a write id. When a response is lost, queries the hosts for the outcome and sends the change
   * again with the same id, which the hosts apply at most once. Fails with `unknown` when the outcome is not found in time.
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
      // A refusal after a lost response can result from the change itself having been applied; the log then contains the write.
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
   * Queries the hosts for the outcome of a write until one reports it as accepted. A host reports `not-run` only for
   * itself; another host that received the write may still execute it. The outcome is therefore `not-run` only when all
   * `attemptedHosts` report it.
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
      // A refusal tells the operator more than an unreachable host does.
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
    return err({ exit: 'unreachable', message: `${address} did not respond (${reply.message}).`, next: 'Name other hosts with --hosts or SHUNT_HOSTS, and check the network and the port.' })
  }
  return reply.status === 200 ? ok(reply.text) : err(toCommandFailure(reply.status, parseJson(reply.text)))
}

function parseResponse<T> (text: string, schema: z.ZodType<T>): Result<T, CommandFailure> {
  const parsed = schema.safeParse(parseJson(text))
  if (parsed.success) return ok(parsed.data)
  const [issue] = parsed.error.issues
  return err({
    exit: 'internal',
    message: `The response of the host is invalid at "${issue?.path.join('.') ?? ''}": ${issue?.message ?? 'unknown error'}.`,
    next: 'Use the version of shuntctl that the hosts run.'
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
  return { exit: 'unreachable', message: `None of the hosts responded: ${hosts.join(', ')}.`, next: 'Name other hosts with --hosts or SHUNT_HOSTS.' }
}

function adviseOutcomeQuery (writeId: string): string {
  return `Query the outcome with "shuntctl write ${writeId}" before you repeat the change.`
}
