import { createHash } from 'node:crypto'
import type { TestContext } from 'node:test'
import { DialMap } from '../../src/common/DialMap.js'
import { Logger } from '../../src/common/Logger.js'
import { SystemClock } from '../../src/common/SystemClock.js'
import { Agent } from '../../src/control/Agent.js'
import { AgentClient } from '../../src/control/AgentClient.js'
import { computePortions } from '../../src/share/computePortions.js'
import type { Settings } from '../../src/config/Settings.js'
import { MemoryPlatform } from './MemoryPlatform.js'
import { sampleDeployment } from './sampleDeployment.js'

const clusterKey = 'test-cluster-key'
const credential = 'test-operator-anna'

class SilentLogger extends Logger {
  override debug (): void {}
  override info (): void {}
  override warn (): void {}
  override error (event: string, fields?: unknown): void {
    console.error(event, fields)
  }
}

/** Several agents in one process that share an in-memory platform. */
export class AgentGroup {
  readonly platform = new MemoryPlatform()
  readonly agents = new Map<string, Agent>()
  readonly links = new Map<string, AgentClient>()
  private readonly addresses: ReadonlyMap<string, string>

  /** `addressPrefix` is a prefix such as `127.20.3` that no other test uses. The group stops when the test ends. */
  constructor (t: TestContext, readonly hosts: readonly string[], private readonly addressPrefix: string) {
    t.after(async () => await this.stop())
    this.addresses = new Map(hosts.map((host, i) => [host, `${addressPrefix}.${i + 1}`]))
  }

  /** Starts an agent; `dial` translates its outgoing addresses, and `platform` is the platform as this agent reaches it. */
  async start (host: string, dial: Record<string, string> = {}, platform = this.platform): Promise<Agent> {
    const clock = new SystemClock()
    const log = new SilentLogger()
    const settings: Settings = {
      host,
      zone: host.slice(0, host.lastIndexOf('-')),
      address: this.getAddress(host),
      ports: { caller: 8080, internal: 8081, peer: 8082, lookup: 8083, agent: 8084, operator: 8085, entryAdmin: 8086 },
      clusterKey,
      operators: [{ name: 'anna', credentialHash: createHash('sha256').update(credential).digest('hex') }],
      platform: { url: 'http://127.20.0.1:1', timeoutMs: 1_000 },
      seeds: [...this.addresses.values()].map((address) => `${address}:8084`),
      dial,
      log: {},
      stopTimeoutMs: 1_000,
      limits: { maxConnections: 10, maxHeaderBytes: 16_384, headersTimeoutMs: 1_000, idleTimeoutMs: 1_000 }
    }
    const agent = new Agent({
      context: { settings, clock, createModuleLogger: () => log },
      table: platform.table,
      objects: platform.objects,
      hosts: platform.hosts,
      computePortions
    })
    this.agents.set(host, agent)
    await agent.start()
    return agent
  }

  /** Starts all agents and loads a deployment of all hosts. */
  async startAll (): Promise<void> {
    for (const host of this.hosts) await this.start(host)
    const change = { kind: 'deployment', deployment: sampleDeployment(this.hosts, this.addressPrefix), expectVersion: undefined, force: false } as const
    const result = await this.getAgent(this.hosts[0]!).writer.write({ writeId: 'load', by: 'anna', change })
    result._unsafeUnwrap()
    await this.waitUntil(() => this.hosts.every((host) => this.hosts.every((other) => this.findMember(host, other)?.state === 'alive')), 10_000)
  }

  async stopAgent (host: string): Promise<void> {
    await this.getAgent(host).stop()
    this.agents.delete(host)
  }

  getAgent (host: string): Agent {
    return this.agents.get(host)!
  }

  getAddress (host: string): string {
    return this.addresses.get(host)!
  }

  /** Returns the member `other` in the table of `host`. */
  findMember (host: string, other: string): ReturnType<Agent['listMembers']>[number] | undefined {
    return this.getAgent(host).listMembers().find((member) => member.host === other)
  }

  /** Connects a fake entry process to the agent of a host. */
  connectEntry (host: string, incarnation = 1): AgentClient {
    const link = new AgentClient({
      self: { name: host, role: 'entry', incarnation },
      address: `${this.getAddress(host)}:8084`,
      clusterKey,
      dial: new DialMap(),
      clock: new SystemClock(),
      onRequest: (message) => message.t === 'explain' ? { t: 'explained', steps: [{ step: 'admission', detail: String(message.customer) }] } : undefined
    })
    link.start()
    this.links.set(host, link)
    return link
  }

  /** Sends a request to the operators' interface of a host. */
  async callOperatorApi (host: string, method: string, path: string, body?: unknown, token = credential): Promise<{ status: number, body: Record<string, unknown> }> {
    const res = await fetch(`http://${this.getAddress(host)}:8085${path}`, {
      method,
      headers: { authorization: `Bearer ${token}` },
      ...(body === undefined ? {} : { body: JSON.stringify(body) })
    })
    return { status: res.status, body: await res.json() as Record<string, unknown> }
  }

  /** Waits for a condition and returns the elapsed time in ms. */
  async waitUntil (test: () => boolean, timeoutMs: number): Promise<number> {
    const startMs = performance.now()
    while (!test()) {
      if (performance.now() - startMs > timeoutMs) throw new Error(`the condition did not hold within ${timeoutMs} ms`)
      await new Promise((resolve) => setTimeout(resolve, 5))
    }
    return performance.now() - startMs
  }

  private async stop (): Promise<void> {
    for (const link of this.links.values()) link.stop()
    await Promise.all([...this.agents.values()].map(async (agent) => await agent.stop()))
  }
}
