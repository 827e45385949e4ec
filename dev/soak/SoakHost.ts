import { readFileSync, writeFileSync } from 'node:fs'
import type { Guard } from '../cluster/Guard.js'
import { ManagedProcess } from '../cluster/ManagedProcess.js'
import { soakLimits } from './soakLimits.js'
import { soakPorts } from './soakPorts.js'

/** Addresses, zone, seed nodes and process arguments of a host in the soak. */
interface SoakHostPlan {
  readonly name: string
  readonly address: string
  readonly zone: string
  readonly region: string
  readonly zones: Readonly<Record<string, string>>
  /** Maps target addresses of outgoing connections to the listeners of the host's links. */
  readonly dial: Readonly<Record<string, string>>
  readonly storeAddress: string
  readonly seeds: readonly string[]
  readonly folder: string
  readonly script: string
  readonly nodeArgs: readonly string[]
}

/** Number of ports that the platform reserves for connections between hosts. */
const internalPorts = 16
const bytesPerMb = 1_048_576
const bytesPerKb = 1_024

/** A host process of the soak with its settings file. */
export class SoakHost {
  readonly process: ManagedProcess
  /** True from a requested stop or a recorded exit until the next start; the exit of such a host isn't recorded as unexpected. */
  isExpectedDown = false
  private readonly settingsFile: string
  private readonly logFile: string
  private isFirstStart = true
  private retrySlack: number = soakLimits.retrySlack

  constructor (readonly plan: SoakHostPlan, guard: Guard) {
    this.settingsFile = `${plan.folder}/${plan.name}.json`
    this.logFile = `${plan.folder}/${plan.name}.log`
    this.process = new ManagedProcess({
      name: plan.name,
      args: [plan.script],
      logFile: this.logFile,
      holdStdin: false,
      nodeArgs: plan.nodeArgs,
      env: { PATH: process.env.PATH, SAPPHIRESHUNT_NODE_FILE: this.settingsFile }
    }, guard)
  }

  get name (): string {
    return this.plan.name
  }

  get callerAddress (): string {
    return `${this.plan.address}:${soakPorts.front}`
  }

  get directoryAddress (): string {
    return `${this.plan.address}:${soakPorts.directory}`
  }

  get readinessAddress (): string {
    return `${this.plan.address}:${soakPorts.ready}`
  }

  start (): void {
    this.writeSettings()
    this.isExpectedDown = false
    this.process.start()
    this.isFirstStart = false
  }

  /** Rewrites the settings with another retry budget, as an operator would. */
  changeSettings (slack: number): void {
    this.retrySlack = slack
    this.writeSettings()
  }

  /** Returns the peak resident set size in MB; 0 when the process isn't running. */
  readPeakMb (): number {
    if (!this.process.isRunning || this.process.pid === undefined) return 0
    const line = /VmHWM:\s+(\d+) kB/.exec(readFileSync(`/proc/${this.process.pid}/status`, 'utf8'))
    return Number(line?.[1] ?? 0) * bytesPerKb / bytesPerMb
  }

  /** Returns the number of hosts that this one has logged as up. */
  countPeers (): number {
    const lines = readFileSync(this.logFile, 'utf8').split('\n').filter((line) => line.includes('event=peer-up'))
    return new Set(lines.map((line) => / peer=(\S+)/.exec(line)?.[1])).size
  }

  /** Returns the log lines that report an internal error of the host. */
  listErrors (): string[] {
    return readFileSync(this.logFile, 'utf8').split('\n').filter((line) => /event=(tick-failed|task-failed|heartbeat-failed|stop-failed|start-failed)| {4}at /.test(line))
  }

  private writeSettings (): void {
    const { name, address, zone, region, zones, dial, storeAddress, seeds } = this.plan
    writeFileSync(this.settingsFile, JSON.stringify({
      node_name: name,
      ip_address: address,
      zone,
      region,
      zones,
      listen: { front: this.callerAddress, ready: this.readinessAddress, directory: this.directoryAddress },
      internal_port_range: [soakPorts.peers, soakPorts.peers + internalPorts - 1],
      seed_nodes: seeds.map((seed) => `${seed}:1`),
      bootstrap: this.isFirstStart,
      rule_params: [`grace_s=${soakLimits.graceMs / 1_000}`, `budget_ratio=${soakLimits.retryRatio}`, `budget_window_s=${soakLimits.retryWindowMs / 1_000}`, `budget_slack=${this.retrySlack}`, 'ttl_max_s=5'],
      cloud_platform: { address: storeAddress },
      dial
    }))
  }
}
