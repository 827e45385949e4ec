import type { Agent } from 'node:http'
import { sendRequest } from '../common/sendRequest.js'

/** An entry host as returned by a lookup. */
interface Entry {
  readonly host: string
  readonly url: string
  readonly keyPrefix: string
}

/** Options for the lookup of entry hosts. */
interface DirectoryOptions {
  /** Addresses of lookup ports, as reachable for the caller, the nearest first. */
  readonly lookups: readonly string[]
  readonly credential: string
  readonly service: string
  /** IP address that the caller sends as its own. */
  readonly clientIp: string
  readonly agent: Agent
}

const lookupTimeoutMs = 1_000
const avoidMs = 3_000
/** Fraction of the time to live after which the entries are refreshed in the background. */
const refreshFraction = 0.6

/** Entry hosts for one caller and service, cached for the lookup's time to live. */
export class EntryDirectory {
  private entries: readonly Entry[] = []
  private fetchedMs = -Infinity
  private ttlMs = 0
  private refreshing: Promise<void> | undefined
  private nextLookupIndex = 0
  private readonly avoidUntilMs = new Map<string, number>()

  constructor (private readonly options: DirectoryOptions) {}

  /** Returns the first entry host that is not being avoided, or else the first one; undefined when no lookup has succeeded. */
  async choose (): Promise<Entry | undefined> {
    const ageMs = performance.now() - this.fetchedMs
    if (ageMs >= this.ttlMs) await this.refresh()
    else if (ageMs >= this.ttlMs * refreshFraction) this.refresh().catch(() => {})
    const nowMs = performance.now()
    return this.entries.find(({ host }) => (this.avoidUntilMs.get(host) ?? 0) < nowMs) ?? this.entries[0]
  }

  /** Prefers other hosts than `host` for a few seconds and refreshes the entries. */
  avoid (host: string): void {
    this.avoidUntilMs.set(host, performance.now() + avoidMs)
    this.refresh().catch(() => {})
  }

  private async refresh (): Promise<void> {
    this.refreshing ??= this.fetch().finally(() => { this.refreshing = undefined })
    await this.refreshing
  }

  private async fetch (): Promise<void> {
    const { lookups, credential, service, clientIp, agent } = this.options
    for (let tries = 0; tries < lookups.length; tries += 1) {
      const address = lookups[this.nextLookupIndex % lookups.length]!
      try {
        const answer = await sendRequest(`http://${address}/v1/lookup?service=${service}&client=${clientIp}`, {
          headers: { authorization: `Bearer ${credential}` }, timeoutMs: lookupTimeoutMs, agent
        })
        if (answer.status === 200) return this.store(answer.body.toString())
      } catch {
        // Tries the next lookup host.
      }
      this.nextLookupIndex += 1
    }
  }

  private store (text: string): void {
    const answer = JSON.parse(text) as { ttlMs: number, entries: Entry[] }
    this.entries = answer.entries
    this.ttlMs = answer.ttlMs
    this.fetchedMs = performance.now()
  }
}
