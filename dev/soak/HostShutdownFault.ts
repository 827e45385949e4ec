import { SoakFault } from './SoakFault.js'
import type { SoakHost } from './SoakHost.js'
import { soakLimits } from './soakLimits.js'
import type { SoakCluster } from './SoakCluster.js'

/** Stops one or several host processes at once, by SIGKILL or by a planned stop, and restarts them. */
export class HostShutdownFault extends SoakFault {
  readonly name: string

  constructor (private readonly signal: 'SIGKILL' | 'SIGTERM', private readonly count: number, readonly weight: number) {
    super()
    this.name = `host-${signal === 'SIGKILL' ? 'kill' : 'stop'}-${count}`
  }

  override async inject (cluster: SoakCluster, holdMs: number): Promise<string> {
    const chosen: SoakHost[] = []
    for (let index = 0; index < this.count; index++) {
      const running = cluster.hosts.filter((host) => !host.isExpectedDown && !chosen.includes(host))
      if (running.length > 0) chosen.push(this.pickRandom(cluster, running))
    }
    await Promise.all(chosen.map(async (host) => { await this.stopAndRestart(cluster, host, holdMs) }))
    return chosen.map((host) => host.name).join(',')
  }

  private async stopAndRestart (cluster: SoakCluster, host: SoakHost, holdMs: number): Promise<void> {
    const { disturbances, unplannedDisturbances } = cluster.history
    const nowMs = performance.now()
    const logs = this.signal === 'SIGKILL' ? [disturbances, unplannedDisturbances] : [disturbances]
    const ends = logs.map((log) => log.begin(host.name, nowMs))
    host.isExpectedDown = true
    host.process.signal(this.signal)
    const killTimer = setTimeout(() => {
      ends.push(unplannedDisturbances.begin(host.name, performance.now()))
      host.process.signal('SIGKILL')
    }, soakLimits.graceMs)
    await host.process.waitForExit()
    clearTimeout(killTimer)
    await this.wait(holdMs)
    host.start()
    while (!await cluster.isReady(host) && performance.now() < nowMs + soakLimits.graceMs + holdMs + soakLimits.startTimeoutMs) await this.wait(soakLimits.pollMs)
    for (const end of ends) end(performance.now())
  }
}
