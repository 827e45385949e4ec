import * as fc from 'fast-check'
import { Registry } from 'prom-client'
import { decodeRow } from '../../platform/decodeRow.js'
import { SilentLogger } from '../../platform/SilentLogger.js'
import { SystemClock } from '../../src/common/SystemClock.js'
import { RejectedInput } from '../../src/metrics/RejectedInput.js'
import { checkEndpoint } from './checkEndpoint.js'
import { FuzzEdge } from './FuzzEdge.js'
import { mostly } from './mostly.js'
import { mutateText } from './mutateText.js'

/** A row of the endpoint registry as another writer may leave it. */
interface EntryInput {
  readonly key: string
  readonly text: string
}

const addresses = fc.tuple(fc.nat(300), fc.nat(70_000)).map(([octet, port]) => `10.0.0.${octet}:${port}`)
const entries = fc.record({
  address: mostly(addresses),
  born: mostly(fc.constant(1_700_000_000_000)),
  info: mostly(fc.record({ service: mostly(fc.constant('stock')), version: mostly(fc.constant('v1')), zone: mostly(fc.constant('north-a')), slots: mostly(fc.nat(20)) })),
  status: mostly(fc.record({ state: mostly(fc.constantFrom('ready', 'draining', 'asleep')), sequence: mostly(fc.nat()), cold_remaining_s: mostly(fc.nat(10)) }))
})

/** Entries of the endpoint registry: each one either names an endpoint that all code can use, or none. */
export class EntryFuzzEdge extends FuzzEdge<EntryInput> {
  override readonly name = 'entries'
  override readonly inputs = fc.record({
    key: fc.oneof({ weight: 3, arbitrary: fc.constant('i-7f3a91c2') }, { weight: 1, arbitrary: fc.string({ unit: 'binary', maxLength: 20 }) }),
    text: mutateText(entries.map((entry) => JSON.stringify(entry)))
  })

  private readonly rejected = new RejectedInput({ registry: new Registry(), clock: new SystemClock(), logger: new SilentLogger() })

  override async check ({ key, text }: EntryInput): Promise<void> {
    const row = decodeRow('endpoints', { key, ver: 1, value: Buffer.from(text).toString('base64') }, this.rejected)
    if (row?.entry?.kind === 'endpoint') checkEndpoint(row.entry.endpoint)
  }
}
