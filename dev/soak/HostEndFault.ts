import { SoakFault } from './SoakFault.js'
import type { SoakHost } from './SoakHost.js'
import { soakLimits } from './soakLimits.js'
import type { SoakWorld } from './SoakWorld.js'

/** Ends host processes and starts them again: by a kill without notice or by a planned stop, one or several at once. */
export class HostEndFault extends SoakFault {
  readonly name: string

  constructor (private readonly signal: 'SIGKILL' | 'SIGTERM', private readonly count: number, readonly weight: number) {
    super()
    this.name = `host-${signal === 'SIGKILL' ? 'kill' : 'stop'}-${count}`
  }

  override async play (world: SoakWorld, holdMs: number): Promise<string> {
    const chosen: SoakHost[] = []
    for (let index = 0; index < this.count; index++) {
      const running = world.hosts.filter((host) => !host.isDown && !chosen.includes(host))
      if (running.length > 0) chosen.push(this.choose(world, running))
    }
    await Promise.all(chosen.map(async (host) => { await this.end(world, host, holdMs) }))
    return chosen.map((host) => host.name).join(',')
  }

  private async end (world: SoakWorld, host: SoakHost, holdMs: number): Promise<void> {
    const { calm, unplanned } = world.ledger
    const nowMs = performance.now()
    const logs = this.signal === 'SIGKILL' ? [calm, unplanned] : [calm]
    const ends = logs.map((log) => log.disturb(host.name, nowMs))
    host.isDown = true
    host.process.signal(this.signal)
    const late = setTimeout(() => {
      ends.push(unplanned.disturb(host.name, performance.now()))
      host.process.signal('SIGKILL')
    }, soakLimits.graceMs)
    await host.process.waitForExit()
    clearTimeout(late)
    await this.hold(holdMs)
    host.start()
    while (!await world.isReady(host) && performance.now() < nowMs + soakLimits.graceMs + holdMs + soakLimits.startMs) await this.hold(soakLimits.pollMs)
    for (const end of ends) end(performance.now())
  }
}
