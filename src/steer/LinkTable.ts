import { Table } from '../common/Table.js'
import type { ConfigDoc } from '../model/ConfigDoc.js'
import type { WorkClass } from '../model/WorkClass.js'
import { LinkBudget } from './LinkBudget.js'

/** Link budgets of one host to the other regions. All hosts of a region get equal shares of its links. */
export class LinkTable {
  private readonly budgets = new Table<LinkBudget>()

  constructor (private readonly host: string) {}

  update (doc: ConfigDoc): void {
    const regionOf = new Map(doc.zones.map((zone) => [zone.name, zone.region]))
    const self = doc.hosts.find((host) => host.name === this.host)
    const region = self === undefined ? undefined : regionOf.get(self.zone)
    const hosts = doc.hosts.filter((host) => regionOf.get(host.zone) === region).length
    for (const link of doc.links) {
      const other = link.regions.find((name) => name !== region)
      if (other === undefined || region === undefined || !link.regions.includes(region)) continue
      const share = { ...link, bytesPerSecond: link.bytesPerSecond / Math.max(1, hosts) }
      this.budgets.ensure(other, () => new LinkBudget(share)).setShare(share)
    }
  }

  /** Reserves bytes and returns the ms to wait before they may be sent; 0 for regions without a configured link. */
  reserve (region: string, workClass: WorkClass, bytes: number, nowMs: number): number {
    return this.budgets.get(region)?.reserve(workClass, bytes, nowMs) ?? 0
  }

  /** Returns how many ms a byte reserved now would wait. */
  delayMs (region: string, workClass: WorkClass, nowMs: number): number {
    return this.budgets.get(region)?.delayMs(workClass, nowMs) ?? 0
  }
}
