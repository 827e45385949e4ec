import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import * as fc from 'fast-check'
import { readSettings } from '../../platform/readSettings.js'
import { parseDestination } from '../../src/common/parseDestination.js'
import { diffSettings } from '../../src/host/diffSettings.js'
import { FuzzEdge } from './FuzzEdge.js'
import { mostly } from './mostly.js'
import { mutateText } from './mutateText.js'

const address = mostly(fc.tuple(fc.nat(300), fc.nat(70_000)).map(([octet, port]) => `10.0.0.${octet}:${port}`))
const params = fc.constantFrom('grace_s=6', 'grace_s=', 'drain_s=-1', 'budget_ratio=1e400', 'ttl_max_s=NaN', 'unknown=true', '=', 'budget_window_s')
const settings = fc.record({
  node_name: mostly(fc.constant('h-1')),
  ip_address: mostly(fc.constantFrom('10.0.0.1', '10.0.0.999', 'here')),
  zone: mostly(fc.constant('north-a')),
  region: mostly(fc.constant('north')),
  zones: mostly(fc.constantFrom({}, { 'north-a': 'north' }, { 'north-a': 7 })),
  listen: mostly(fc.record({ front: address, ready: address, directory: address })),
  internal_port_range: mostly(fc.tuple(mostly(fc.nat(70_000)), mostly(fc.nat(70_000)))),
  bootstrap: mostly(fc.boolean()),
  seed_nodes: mostly(fc.array(address, { maxLength: 3 })),
  limits: mostly(fc.record({ link_mbps: mostly(fc.nat(1_000)) })),
  rule_params: mostly(fc.array(params, { maxLength: 3 })),
  cloud_platform: mostly(fc.record({ address }))
})

/** Settings files: each one is refused with one line, or a host can start with it and take it over while it runs. */
export class SettingsFuzzEdge extends FuzzEdge<string> {
  override readonly name = 'settings'
  override readonly inputs = mutateText(settings.map((value) => JSON.stringify(value)))
  private folder = ''

  override async open (): Promise<void> {
    this.folder = mkdtempSync(join(tmpdir(), 'fuzz-settings-'))
  }

  override async check (text: string): Promise<void> {
    const file = join(this.folder, 'settings.json')
    writeFileSync(file, text)
    const read = readSettings(file)
    if (read.isErr()) {
      if (read.error.includes('\n')) throw new Error('the error has more than one line')
      return
    }
    const { host, storeAddress } = read.value
    for (const each of [...Object.values(host.listen), ...host.seeds, storeAddress]) parseDestination(each)
    for (const [name, value] of Object.entries(host.bounds)) if (!(value >= 0 && Number.isFinite(value))) throw new Error(`${name} is ${value}`)
    if (!(host.linkMbps >= 0)) throw new Error(`the link has ${host.linkMbps} Mbit/s`)
    diffSettings(host, { ...host, seeds: [] })
  }

  override async close (): Promise<void> {
    rmSync(this.folder, { recursive: true, force: true })
  }
}
