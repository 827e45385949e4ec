import { createHash } from 'node:crypto'
import { Agent } from 'node:http'
import { responseBody } from '../upstream/responseBody.js'
import { CallKind } from './CallKind.js'
import type { CallRecord } from './CallRecord.js'
import { EntryDirectory } from './EntryDirectory.js'
import { exchange } from './exchange.js'
import type { TrafficStream } from './TrafficStream.js'

/** Options of a caller. */
interface CallerOptions {
  readonly stream: TrafficStream
  /** Addresses of lookup ports, as reachable for the caller, the nearest first. */
  readonly lookups: readonly string[]
  readonly clientIp: string
  /** Translates an entry host's `a.b.c.d:port` to the address at which this caller connects to it. */
  readonly dial: (target: string) => string
  /** Returns the base URL of a host by its name, for pinned streams. */
  readonly hostUrl: (host: string) => string
}

/** A request and the state of its attempts. */
interface Call {
  readonly requestId: string
  readonly path: string
  readonly body: Buffer | undefined
  readonly intendedMs: number
  readonly deadlineMs: number
  readonly breaks: Array<CallRecord['breaks'][number]>
  key: string | undefined
  attempts: number
  host: string
}

/** Decision after an attempt: the call ends, or is repeated after a wait. */
type RetryDecision =
  | { readonly kind: 'end', readonly result: CallRecord['result'], readonly code: number }
  | { readonly kind: 'repeat', readonly waitMs: number, readonly result: CallRecord['result'], readonly code: number }

const defaultDeadlineMs = { read: 3_000, order: 8_000, upload: 20_000 }
const answerGraceMs = 2_000
const maxFailures = 3
const defaultMaxRetries = 2
const orderBytes = 200
const uploadBodies = new Map<number, { readonly body: Buffer, readonly hash: string }>()

/** Simulates one caller of a customer: reuses connections, caches lookups, retries, and verifies every answer. */
export class Caller {
  private readonly agent = new Agent({ keepAlive: true, noDelay: true })
  private readonly directory: EntryDirectory
  private readonly credential: string

  constructor (private readonly options: CallerOptions) {
    const { stream, lookups, clientIp } = options
    this.credential = `demo-${stream.customer}`
    this.directory = new EntryDirectory({ lookups, credential: this.credential, service: stream.service, clientIp, agent: this.agent })
  }

  /** Sends one request that was due at `intendedMs` (of `performance.now()`) and returns its outcome. */
  async call (requestId: string, intendedMs: number): Promise<CallRecord> {
    const call = this.createCall(requestId, intendedMs)
    let failures = 0
    let retries = 0
    for (;;) {
      const decision = await this.attempt(call)
      if (decision.kind === 'end') return this.describeCall(call, decision)
      if (decision.result === 'broken') failures += 1
      else retries += 1
      const leftMs = intendedMs + call.deadlineMs - performance.now()
      const attemptsExhausted = failures >= maxFailures || retries > (this.options.stream.maxRetries ?? defaultMaxRetries)
      if (attemptsExhausted || decision.waitMs >= leftMs) return this.describeCall(call, decision)
      if (decision.waitMs > 0) await new Promise((resolve) => setTimeout(resolve, decision.waitMs))
    }
  }

  close (): void {
    this.agent.destroy()
  }

  private createCall (requestId: string, intendedMs: number): Call {
    const { stream } = this.options
    const query = stream.kind === CallKind.read && stream.bytes !== undefined ? `?bytes=${stream.bytes}` : ''
    return {
      requestId,
      path: `/${stream.path}/items/${requestId}${query}`,
      body: createBody(stream, requestId),
      intendedMs,
      deadlineMs: stream.deadlineMs ?? defaultDeadlineMs[stream.kind],
      breaks: [],
      key: undefined,
      attempts: 0,
      host: ''
    }
  }

  private async attempt (call: Call): Promise<RetryDecision> {
    const entry = await this.chooseEntry()
    if (entry === undefined) return { kind: 'repeat', result: 'notRun', code: 0, waitMs: 200 }
    call.attempts += 1
    call.host = entry.host
    // All attempts use the same idempotency key, so that an order or upload runs at most once.
    if (this.options.stream.kind !== CallKind.read) call.key ??= `${entry.keyPrefix}${call.requestId}`
    const leftMs = Math.max(1, Math.round(call.intendedMs + call.deadlineMs - performance.now()))
    const sentAtMs = Date.now()
    const result = await exchange({
      address: this.options.dial(entry.url.replace(/^http:\/\//, '')),
      method: call.body === undefined ? 'GET' : 'POST',
      path: call.path,
      headers: this.createHeaders(call, leftMs),
      body: call.body,
      timeoutMs: leftMs + answerGraceMs,
      agent: this.agent
    })
    if (result.kind === 'failure') return this.decideAfterFailure(call, sentAtMs, result)
    if (result.headers['shunt-leaving'] !== undefined) this.directory.avoid(entry.host)
    return this.decideAfterAnswer(call, result)
  }

  private async chooseEntry (): ReturnType<EntryDirectory['choose']> {
    const chosen = await this.directory.choose()
    const { pinnedHost } = this.options.stream
    if (pinnedHost === undefined || chosen === undefined) return chosen
    return { host: pinnedHost, url: this.options.hostUrl(pinnedHost), keyPrefix: chosen.host === pinnedHost ? chosen.keyPrefix : 'pinned-' }
  }

  private createHeaders (call: Call, deadlineMs: number): Record<string, string | number> {
    return {
      authorization: `Bearer ${this.credential}`,
      'shunt-request-id': call.requestId,
      'shunt-deadline-ms': deadlineMs,
      ...(call.key === undefined ? {} : { 'idempotency-key': call.key })
    }
  }

  private decideAfterFailure (call: Call, sentAtMs: number, { sent, reason, client }: { readonly sent: boolean, readonly reason: string, readonly client: string }): RetryDecision {
    this.directory.avoid(call.host)
    if (!sent) {
      // No request with this key was sent, so the next host may assign a new key.
      if (call.attempts === 1) call.key = undefined
      return { kind: 'repeat', result: 'broken', code: 0, waitMs: 0 }
    }
    call.breaks.push({ host: call.host, client, sentAtMs, atMs: Date.now(), reason })
    if (this.options.stream.kind === CallKind.read) return { kind: 'repeat', result: 'broken', code: 0, waitMs: 0 }
    return { kind: 'end', result: 'broken', code: 0 }
  }

  private decideAfterAnswer (call: Call, { status, headers, body }: { readonly status: number, readonly headers: Record<string, unknown>, readonly body: Buffer }): RetryDecision {
    const code = Number(headers['shunt-code'] ?? 0)
    if (status === 200 && code === 0) return { kind: 'end', result: this.isOwnAnswer(call, body) ? 'ok' : 'mixed', code: 0 }
    if (headers['shunt-outcome'] === 'unknown') return { kind: 'end', result: 'unknown', code }
    if (headers['shunt-outcome'] !== 'not-run') return { kind: 'end', result: 'unknown', code: code === 0 ? status : code }
    const retryAfterMs = readRetryAfter(body)
    if (retryAfterMs === undefined || this.options.stream.maxRetries === 0) return { kind: 'end', result: 'notRun', code }
    return { kind: 'repeat', result: 'notRun', code, waitMs: retryAfterMs }
  }

  private isOwnAnswer (call: Call, body: Buffer): boolean {
    const head = responseBody.read(body)
    if (head === undefined) return false
    const hash = this.options.stream.kind === CallKind.upload ? uploadBodies.get(call.body?.length ?? 0)?.hash : undefined
    return head.requestId === call.requestId &&
      head.customer === this.options.stream.customer &&
      call.path.endsWith(head.path) &&
      head.received === (call.body?.length ?? 0) &&
      (hash === undefined || head.receivedHash === hash)
  }

  private describeCall (call: Call, { result, code }: { readonly result: CallRecord['result'], readonly code: number }): CallRecord {
    const { customer, region, kind, service } = this.options.stream
    const latencyMs = performance.now() - call.intendedMs
    return {
      customer,
      region,
      kind,
      service,
      requestId: call.requestId,
      key: call.key,
      intendedMs: Date.now() - latencyMs,
      latencyMs,
      result,
      code,
      attempts: call.attempts,
      host: call.host,
      breaks: call.breaks,
      uploadedBytes: kind === CallKind.upload && result === 'ok' ? call.body?.length ?? 0 : 0
    }
  }
}

function createBody (stream: TrafficStream, requestId: string): Buffer | undefined {
  if (stream.kind === CallKind.read) return undefined
  if (stream.kind === CallKind.order) return Buffer.from(JSON.stringify({ order: requestId, note: 'x'.repeat(orderBytes) }))
  const bytes = stream.bytes ?? 0
  const upload = uploadBodies.get(bytes) ?? createUpload(bytes)
  uploadBodies.set(bytes, upload)
  return upload.body
}

function createUpload (bytes: number): { readonly body: Buffer, readonly hash: string } {
  const body = Buffer.alloc(bytes, 'condition report and catalogue data ')
  return { body, hash: createHash('sha256').update(body).digest('hex') }
}

function readRetryAfter (body: Buffer): number | undefined {
  try {
    const { retryAfterMs } = JSON.parse(body.toString()) as { retryAfterMs?: number }
    return retryAfterMs
  } catch {
    return undefined
  }
}
