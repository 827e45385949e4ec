import type { Cluster } from '../Cluster.js'
import { CallKind } from './CallKind.js'
import type { TrafficStream } from './TrafficStream.js'

/** Options of the mixed traffic. */
interface MixOptions {
  /** Offered load as a share of each contract's rate; default 0.4. */
  readonly load?: number
  /** Customer that exceeds its contract: it sends `factor` times its contract's rate. */
  readonly flood?: { readonly customer: string, readonly factor: number, readonly fromMs: number, readonly untilMs: number }
  /** Bytes of an upload; default 500,000. */
  readonly uploadBytes?: number
}

/** Fractions of a customer's requests by kind; the remainder are reads. */
const orderFraction = 0.15
const uploadFraction = 0.02
const uploadFractionWithoutOrders = 0.15
const readBytes = 2_000

/** Creates streams of reads, orders and uploads for every customer, from the clients of every region. */
export function createMixedTraffic (cluster: Cluster, options: MixOptions = {}): TrafficStream[] {
  const { load = 0.4, flood, uploadBytes = 500_000 } = options
  const streams = cluster.contracts
    .filter(({ customer }) => customer !== flood?.customer)
    .flatMap((contract) => cluster.regionNames.flatMap((region) => createRegionTraffic(cluster, contract, region, load, uploadBytes)))
  return flood === undefined ? streams : [...streams, ...createFlood(cluster, flood)]
}

/** Returns the services by use: the deployment's first one for reads, the second for orders, the third for uploads. */
function listServices (cluster: Cluster): { readonly read: string, readonly order: string, readonly upload: string } {
  const [read, order, upload] = cluster.deployment.services.map(({ name }) => name)
  return { read: read!, order: order!, upload: upload! }
}

function createRegionTraffic (cluster: Cluster, contract: Cluster['contracts'][number], region: string, load: number, uploadBytes: number): TrafficStream[] {
  const services = listServices(cluster)
  const hasOrders = contract.services.includes(services.order)
  const hasUploads = contract.services.includes(services.upload)
  const total = contract.rate * load / cluster.regionNames.length
  const uploads = hasUploads ? total * (hasOrders ? uploadFraction : uploadFractionWithoutOrders) : 0
  const orders = hasOrders ? total * orderFraction : 0
  const base = { customer: contract.customer, region }
  const streams: TrafficStream[] = [
    { ...base, kind: CallKind.read, ...findService(cluster, services.read), ratePerSecond: total - uploads - orders, bytes: readBytes },
    { ...base, kind: CallKind.order, ...findService(cluster, services.order), ratePerSecond: orders },
    { ...base, kind: CallKind.upload, ...findService(cluster, services.upload), ratePerSecond: uploads, bytes: uploadBytes }
  ]
  return streams.filter(({ ratePerSecond }) => ratePerSecond > 0)
}

function createFlood (cluster: Cluster, flood: NonNullable<MixOptions['flood']>): TrafficStream[] {
  const { rate } = cluster.contracts.find(({ customer }) => customer === flood.customer)!
  const regions = cluster.regionNames
  return regions.map((region): TrafficStream => ({
    customer: flood.customer,
    region,
    kind: CallKind.read,
    ...findService(cluster, listServices(cluster).read),
    ratePerSecond: rate * flood.factor / regions.length,
    bytes: readBytes,
    maxRetries: 0,
    fromMs: flood.fromMs,
    untilMs: flood.untilMs
  }))
}

function findService (cluster: Cluster, name: string): { readonly service: string, readonly path: string } {
  return { service: name, path: cluster.deployment.services.find((service) => service.name === name)!.path }
}
