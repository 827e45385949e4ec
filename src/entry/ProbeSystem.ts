import { System } from '../common/System.js'
import type { EndpointSpec } from '../model/EndpointSpec.js'
import type { EndpointReport } from '../steer/EndpointReport.js'
import type { EntryModules } from './EntryModules.js'
import { RequestBody } from './RequestBody.js'
import type { UpstreamClient } from './UpstreamClient.js'

const probeTimeoutMs = 500
const okStatus = 200
const noBody = new RequestBody(Buffer.alloc(0), 0, undefined, 0)

/** Sends health checks to owned endpoints when they are due. */
export class ProbeSystem extends System {
  override readonly name = 'probe'

  constructor (private readonly steer: EntryModules['steer'], private readonly client: UpstreamClient) {
    super()
  }

  override run (nowMs: number): void {
    for (const endpoint of this.steer.takeDueProbes(nowMs)) {
      this.probe(endpoint).catch(() => this.steer.recordProbeFailure(endpoint.name))
    }
  }

  private async probe (endpoint: EndpointSpec): Promise<void> {
    const call = this.client.start({
      address: endpoint.address,
      method: 'GET',
      path: '/health',
      headers: [],
      body: noBody,
      needsNewConnection: false,
      mayWrite: () => true,
      reserveBytes: () => 0
    })
    const timer = setTimeout(() => call.cancel('timeout'), probeTimeoutMs)
    const reply = await call.response
    clearTimeout(timer)
    const report = reply.isOk() && reply.value.status === okStatus ? parseHealth(reply.value.body) : undefined
    if (reply.isOk() && reply.value.stream !== undefined) call.cancel('cancelled')
    if (report === undefined) this.steer.recordProbeFailure(endpoint.name)
    else this.steer.recordReport(endpoint.name, report, true)
  }
}

function parseHealth (body: Buffer): EndpointReport | undefined {
  let value: unknown
  try {
    value = JSON.parse(body.toString('utf8'))
  } catch {
    return undefined
  }
  if (typeof value !== 'object' || value === null) return undefined
  const { state, used, slots } = value as Record<string, unknown>
  const isKnown = state === 'ready' || state === 'cold' || state === 'draining'
  return isKnown && isCount(used) && isCount(slots) ? { state, used, slots } : undefined
}

function isCount (value: unknown): value is number {
  return Number.isInteger(value) && (value as number) >= 0
}
