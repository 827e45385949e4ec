import { ControlServer } from '../common/ControlServer.js'
import { Endpoint } from './Endpoint.js'
import type { EndpointFaults } from './EndpointFaults.js'
import { Truth } from './Truth.js'
import type { TruthReport } from './TruthReport.js'
import type { UpstreamPlan } from './UpstreamPlan.js'

/** Selects the endpoints that match all given fields. */
interface EndpointSelection {
  readonly endpoint?: string
  readonly zone?: string
  readonly region?: string
  readonly service?: string
}

/** Stand-in for all upstreams of a deployment in one process. */
export class UpstreamServer {
  private readonly endpoints: Endpoint[]
  private readonly regions: ReadonlyMap<string, string>
  private readonly truth: Truth
  private readonly control: ControlServer

  constructor (private readonly plan: UpstreamPlan) {
    this.regions = new Map(plan.zones.map(({ name, region }) => [name, region]))
    this.truth = new Truth(this.countRegionSlots())
    this.endpoints = plan.endpoints.map((spec, index) => this.createEndpoint(spec, index))
    this.control = new ControlServer({
      fault: async (body) => await this.setFaults(body.select as EndpointSelection, body.faults as Partial<EndpointFaults>),
      markDrain: (body) => {
        for (const endpoint of this.select(body.select as EndpointSelection)) endpoint.markDrain(Number(body.atMs ?? Date.now()))
      },
      clearDrain: (body) => { for (const endpoint of this.select(body.select as EndpointSelection)) endpoint.clearDrain() },
      truth: () => this.report(),
      runs: (body) => this.truth.countRuns(body.keys as string[], body.requestIds as string[])
    })
  }

  async start (): Promise<void> {
    await Promise.all(this.endpoints.map(async (endpoint) => await endpoint.open()))
    await this.control.listen(this.plan.address, this.plan.controlPort)
  }

  async close (): Promise<void> {
    await Promise.all(this.endpoints.map(async (endpoint) => await endpoint.close()))
    await this.control.close()
  }

  private createEndpoint (spec: UpstreamPlan['endpoints'][number], index: number): Endpoint {
    const service = this.plan.services.find(({ name }) => name === spec.service)
    if (service === undefined) throw new Error(`endpoint "${spec.name}" refers to the unknown service "${spec.service}"`)
    const { meanServiceMs, seed } = this.plan
    return new Endpoint({ spec, region: this.regionOf(spec.zone), service, meanServiceMs, seed: seed + index, truth: this.truth })
  }

  private regionOf (zone: string): string {
    return this.regions.get(zone) ?? zone
  }

  private countRegionSlots (): Map<string, number> {
    const slots = new Map<string, number>()
    for (const spec of this.plan.endpoints) {
      const regionService = `${this.regionOf(spec.zone)}/${spec.service}`
      slots.set(regionService, (slots.get(regionService) ?? 0) + spec.slots)
    }
    return slots
  }

  private select (selection: EndpointSelection): Endpoint[] {
    const selected = this.endpoints.filter(({ spec }) =>
      (selection.endpoint ?? spec.name) === spec.name &&
      (selection.zone ?? spec.zone) === spec.zone &&
      (selection.region ?? this.regionOf(spec.zone)) === this.regionOf(spec.zone) &&
      (selection.service ?? spec.service) === spec.service)
    if (selected.length === 0) throw new Error(`no endpoint matches ${JSON.stringify(selection)}`)
    return selected
  }

  private async setFaults (selection: EndpointSelection, faults: Partial<EndpointFaults>): Promise<{ changed: string[] }> {
    const selected = this.select(selection)
    await Promise.all(selected.map(async (endpoint) => await endpoint.setFaults(faults)))
    return { changed: selected.map(({ spec }) => spec.name) }
  }

  private report (): TruthReport {
    const endpoints = Object.fromEntries(this.endpoints.map((endpoint) => [endpoint.spec.name, endpoint.describeTruth()]))
    return { ...this.truth.report(), endpoints }
  }
}
