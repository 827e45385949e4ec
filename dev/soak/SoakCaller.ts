import { Agent, request } from 'node:http'
import type { IncomingHttpHeaders } from 'node:http'
import type { SeededRandom } from '../common/SeededRandom.js'
import type { SoakHistory } from './SoakHistory.js'
import type { SoakRequest } from './SoakRequest.js'

/** A host to which a caller can connect. */
interface CallerTarget {
  readonly host: string
  /** `a.b.c.d:port` of the caller's link to the host. */
  readonly address: string
}

/** Random generator, history and lookup functions of a caller. */
interface SoakCallerOptions {
  readonly name: string
  readonly random: SeededRandom
  readonly history: SoakHistory
  /** Queries the hosts' directory; returns undefined when no host responds. */
  readonly lookUp: () => Promise<CallerTarget | undefined>
  /** Returns the prefix of the newest added route that all hosts must have applied. */
  readonly newestPrefix: () => string | undefined
}

const objectCount = 60
const meanThinkMs = 120
/** Number of requests between lookups while the connection stays open. */
const requestsPerLookup = 12
const maxUploadBytes = 60_000
const deadlinesMs = { read: 1_200, order: 2_000, upload: 2_500 }

/** Sends requests one at a time and reuses its connection until a request ends without a response. */
export class SoakCaller {
  private count = 0
  private target: CallerTarget | undefined
  private agent = this.createAgent()
  private isStopping = false

  constructor (private readonly options: SoakCallerOptions) {}

  async run (): Promise<void> {
    while (!this.isStopping) {
      if (this.target === undefined || this.count % requestsPerLookup === 0) this.target = await this.options.lookUp() ?? this.target
      if (this.target !== undefined) await this.send(this.target)
      await new Promise((resolve) => setTimeout(resolve, this.options.random.exponential(meanThinkMs)))
    }
    this.agent.destroy()
  }

  stop (): void {
    this.isStopping = true
  }

  private async send (target: CallerTarget): Promise<void> {
    const sent = this.createRequest(target.host)
    this.options.history.requests.push(sent)
    await this.exchange(sent, target.address)
    sent.endedAtMs = performance.now()
    if (sent.status !== 0) return
    this.agent.destroy()
    this.agent = this.createAgent()
    this.target = undefined
  }

  private createAgent (): Agent {
    return new Agent({ keepAlive: true, maxSockets: 1 })
  }

  private createRequest (host: string): SoakRequest {
    const { random, name, newestPrefix } = this.options
    this.count += 1
    const kind = random.pick([{ weight: 6, choice: 'read' }, { weight: 2, choice: 'order' }, { weight: 1, choice: 'upload' }] as const)
    const prefix = kind === 'read' && random.next() < 0.2 ? newestPrefix() ?? '/read/' : `/${kind}/`
    return {
      id: `${name}-${this.count}`,
      method: kind === 'read' ? 'GET' : 'POST',
      path: `${prefix}${random.integer(objectCount)}?n=${this.count}`,
      body: kind === 'read' ? '' : 'x'.repeat(kind === 'order' ? 40 : 1 + random.integer(maxUploadBytes)),
      isIdempotent: kind === 'read',
      host,
      deadlineMs: deadlinesMs[kind],
      sentAtMs: performance.now(),
      endedAtMs: 0,
      status: 0,
      signedBy: undefined,
      responseId: undefined,
      responseBody: '',
      hasTimedOut: false
    }
  }

  private async exchange (sent: SoakRequest, address: string): Promise<void> {
    const [host, port] = address.split(':')
    const object = sent.path.split(/[/?]/)[2] ?? ''
    const headers = {
      Host: 'shop.example',
      'X-Request-Id': sent.id,
      'X-Deadline-Ms': String(sent.deadlineMs),
      Cookie: `X-Affinity-Key=${object}`,
      ...(sent.method === 'GET' ? {} : { 'Content-Length': String(sent.body.length) })
    }
    await new Promise<void>((resolve) => {
      const req = request({ host: host!, port: Number(port), method: sent.method, path: sent.path, headers, agent: this.agent }, (res) => {
        const chunks: Buffer[] = []
        res.on('data', (chunk: Buffer) => chunks.push(chunk))
        res.on('error', () => {})
        res.on('end', () => { if (res.complete) recordResponse(sent, res.statusCode ?? 0, res.headers, Buffer.concat(chunks).toString('utf8')) })
      })
      const timer = setTimeout(() => {
        sent.hasTimedOut = true
        req.destroy()
      }, sent.deadlineMs)
      req.on('error', () => {})
      req.on('close', () => {
        clearTimeout(timer)
        resolve()
      })
      req.end(sent.body)
    })
  }
}

function recordResponse (sent: SoakRequest, status: number, headers: IncomingHttpHeaders, body: string): void {
  const signature = headers['x-server-signature']
  sent.status = status
  sent.signedBy = typeof signature === 'string' ? signature.replace(/^sig-/, '') : undefined
  sent.responseId = typeof headers['x-request-id'] === 'string' ? headers['x-request-id'] : undefined
  sent.responseBody = body
}
