import { ControlServer } from '../common/ControlServer.js'
import { StallWatch } from '../common/StallWatch.js'
import { BandwidthGroup } from './BandwidthGroup.js'
import { Link } from './Link.js'
import type { LinkFaults } from './LinkFaults.js'
import type { LinkPlan } from './LinkPlan.js'
import type { LinkSelection } from './LinkSelection.js'
import type { ProxyCounts } from './ProxyCounts.js'
import type { ProxyPlan } from './ProxyPlan.js'

/** Time in ms without a turn of the event loop that is reported. */
const stallMs = 200

/** Fault-injecting TCP proxy that runs all links of a cluster in one process. */
export class ProxyServer {
  private readonly groups: ReadonlyMap<string, BandwidthGroup>
  private readonly links: Link[]
  private readonly control: ControlServer
  /** Times from and until which this process stood still, in ms of wall time; no data passed meanwhile. */
  private readonly stalls: Array<readonly [number, number]> = []
  private readonly stallWatch = new StallWatch(stallMs, (fromMs, untilMs) => {
    this.stalls.push([performance.timeOrigin + fromMs, performance.timeOrigin + untilMs])
  })

  constructor (private readonly plan: ProxyPlan) {
    this.groups = new Map(Object.entries(plan.groups).map(([name, rate]) => [name, new BandwidthGroup(rate)]))
    this.links = plan.links.map((link) => new Link(link, this.groups))
    this.control = new ControlServer({
      fault: async (body) => await this.setFaults(body.selects as LinkSelection[], body.faults as Partial<LinkFaults>),
      heal: async () => { await Promise.all(this.links.map(async (link) => await link.heal())) },
      bandwidth: (body) => this.setBandwidth(String(body.group), Number(body.bytesPerSecond)),
      counts: () => this.report()
    })
  }

  async start (): Promise<void> {
    await Promise.all(this.links.map(async (link) => await link.open()))
    await this.control.listen(this.plan.address, this.plan.controlPort)
    this.stallWatch.start()
  }

  async close (): Promise<void> {
    this.stallWatch.stop()
    await Promise.all(this.links.map(async (link) => await link.close()))
    await this.control.close()
  }

  private async setFaults (selects: readonly LinkSelection[], faults: Partial<LinkFaults>): Promise<{ links: number }> {
    const selected = this.links.filter(({ plan }) => selects.some((select) => matches(plan, select)))
    await Promise.all(selected.map(async (link) => await link.setFaults(faults)))
    return { links: selected.length }
  }

  private setBandwidth (name: string, bytesPerSecond: number): void {
    const group = this.groups.get(name)
    if (group === undefined) throw new Error(`unknown bandwidth group "${name}"`)
    group.bytesPerSecond = bytesPerSecond
  }

  private report (): ProxyCounts {
    return {
      groups: Object.fromEntries([...this.groups].map(([name, { bytes }]) => [name, bytes])),
      connections: this.links.reduce((sum, { connections }) => sum + connections, 0),
      refused: this.links.flatMap(({ refused }) => refused),
      stalls: this.stalls
    }
  }
}

function matches (plan: LinkPlan, select: LinkSelection): boolean {
  return Object.entries(select).every(([field, value]) => plan[field as keyof LinkSelection] === value)
}
