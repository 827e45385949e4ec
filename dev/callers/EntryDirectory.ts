import type { Agent } from 'node:http'
import { sendRequest } from '../common/sendRequest.js'

/** An entry host as a look-up names it. */
interface Entry {
  readonly host: string
  readonly url: string
  readonly keyPrefix: string
}

/** How a caller finds entry hosts. */
interface DirectoryOptions {
  /** Addresses of look-up ports as the caller reaches them, the nearest first. */
  readonly lookups: readonly string[]
  readonly credential: string
  readonly service: string
  /** IP address that the caller names as its own. */
  readonly clientIp: string
  readonly agent: Agent
}

const lookupTimeoutMs = 1_000
const avoidMs = 3_000
/** Part of the time to live after which an answer is renewed in the background. */
const renewAfter = 0.6

/** Entry hosts for one caller and service, cached for the time that the look-up allows. */
export class EntryDirectory {
  private entries: readonly Entry[] = []
  private fetchedMs = -Infinity
  private ttlMs = 0
  private refreshing: Promise<void> | undefined
  private nextLookup = 0
  private readonly avoidUntil = new Map<string, number>()

  constructor (private readonly options: DirectoryOptions) {}

  /** The preferred entry host that did not fail lately; undefined when no look-up succeeds. */
  async choose (): Promise<Entry | undefined> {
    const ageMs = performance.now() - this.fetchedMs
    if (ageMs >= this.ttlMs) await this.refresh()
    else if (ageMs >= this.ttlMs * renewAfter) this.refresh().catch(() => {})
    const nowMs = performance.now()
    return this.entries.find(({ host }) => (this.avoidUntil.get(host) ?? 0) < nowMs) ?? this.entries[0]
  }

  /** Takes other hosts for a while and asks again. */
  avoid (host: string): void {
    this.avoidUntil.set(host, performance.now() + avoidMs)
    this.refresh().catch(() => {})
  }

  private async refresh (): Promise<void> {
    this.refreshing ??= this.fetch().finally(() => { this.refreshing = undefined })
    await this.refreshing
  }

  private async fetch (): Promise<void> {
    const { lookups, credential, service, clientIp, agent } = this.options
    for (let tries = 0; tries < lookups.length; tries += 1) {
      const address = lookups[this.nextLookup % lookups.length]!
      try {
        const answer = await sendRequest(`http://${address}/v1/lookup?service=${service}&client=${clientIp}`, {
          headers: { authorization: `Bearer ${credential}` }, timeoutMs: lookupTimeoutMs, agent
        })
        if (answer.status === 200) return this.store(answer.body.toString())
      } catch {
        // The next host is asked.
      }
      this.nextLookup += 1
    }
  }

  private store (text: string): void {
    const answer = JSON.parse(text) as { ttlMs: number, entries: Entry[] }
    this.entries = answer.entries
    this.ttlMs = answer.ttlMs
    this.fetchedMs = performance.now()
  }
}
