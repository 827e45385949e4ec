import { match } from 'ts-pattern'
import type { Logger } from '../common/Logger.js'
import { Catalog } from '../catalog/Catalog.js'
import { CatalogTable } from '../catalog/CatalogTable.js'
import type { PeerTable } from '../peers/PeerTable.js'
import type { StoreHealth } from '../catalog/StoreHealth.js'
import type { Clock } from '../common/Clock.js'
import { endpointLimits } from '../endpoints/endpointLimits.js'
import type { EndpointTable } from '../endpoints/EndpointTable.js'
import type { RoutingTable } from '../routing/RoutingTable.js'
import { StartupGate } from '../common/StartupGate.js'
import { update } from '../common/update.js'

/** Tables that shared state is applied to, and hooks. */
interface ClusterStateOptions {
  readonly routing: RoutingTable
  readonly endpoints: EndpointTable
  readonly peers: PeerTable
  readonly health: StoreHealth
  readonly clock: Clock
  readonly logger: Logger
  /** Called after a new configuration has been applied. */
  readonly onConfigApplied: () => void
  /** Decides whether missing entries count as removed, given this host's own view and the reports of peers. */
  readonly confirmSettled: (isOwnSettled: boolean) => boolean
  /** Called after a change has been received from the store. */
  readonly onStoreChange: () => void
}

/** `source` of changes that come from the store and not from a peer. */
const storeSource = 'store'

/** Applies the contents of the catalog to the tables of this host. */
export class ClusterState {
  readonly catalog = new Catalog((table, source) => this.apply(table, source))
  /** Evacuated zones, whose endpoints receive no requests. */
  readonly evacuatedZones = new Set<string>()

  private readonly gate: StartupGate
  /** Era of each table as last applied. */
  private readonly eras = new Map<CatalogTable, number>()

  constructor (private readonly options: ClusterStateOptions) {
    const { clock, health } = options
    this.gate = new StartupGate({ clock, hasResult: () => health.hasStartResult })
  }

  /** True once the configuration and the endpoints have been received and may be relied on. */
  get isSynced (): boolean {
    return this.options.routing.config !== undefined && this.catalog.versionOf(CatalogTable.endpoints) >= 0 && this.gate.isOpen
  }

  /** Removes endpoints whose entries did not reappear after the store became reachable again. */
  expireMissingEndpoints (nowMs: number): void {
    this.options.endpoints.removeExpired({ nowMs, mayHaveLapsed: this.mayHaveLapsed(nowMs) })
  }

  /** Gives up rows that were lost by a restore of the store and not written again. */
  releaseRetained (nowMs: number): void {
    this.catalog.releaseRetained(nowMs)
  }

  private apply (table: CatalogTable, source: string): void {
    this.logRestore(table, source)
    match(table)
      .with(CatalogTable.orders, () => this.applyOrders(source))
      .with(CatalogTable.endpoints, () => this.applyEndpoints(source))
      .with(CatalogTable.hosts, () => this.applyHosts())
      .exhaustive()
    if (source === storeSource) this.options.onStoreChange()
  }

  private logRestore (table: CatalogTable, source: string): void {
    const { era, version } = this.catalog.positionOf(table)
    const before = this.eras.get(table)
    this.eras.set(table, era)
    if (before !== undefined && era !== before) this.options.logger.warn('store-restored', { table, era, before, version, retained: this.catalog.countRetained(table), source })
  }

  private applyOrders (source: string): void {
    const { routing, logger, onConfigApplied } = this.options
    const entries = this.catalog.entries(CatalogTable.orders)
    for (const entry of entries) {
      if (entry.kind !== 'routing') continue
      const inForce = routing.config?.version
      if (!routing.apply(entry.config)) {
        if (entry.config.version !== inForce) logger.warn('config-outdated', { version: entry.config.version, inForce, source })
        continue
      }
      logger.info('config-applied', { version: entry.config.version, routes: entry.config.routes.length, source })
      onConfigApplied()
    }
    this.applyEvacuations(new Set(entries.filter((entry) => entry.kind === 'evacuation').map((entry) => entry.zone)))
  }

  private applyEvacuations (zones: ReadonlySet<string>): void {
    const { endpoints, logger } = this.options
    for (const zone of zones) {
      if (this.evacuatedZones.has(zone)) continue
      this.evacuatedZones.add(zone)
      logger.info('zone-evacuated', { zone })
    }
    for (const zone of this.evacuatedZones) {
      if (zones.has(zone)) continue
      this.evacuatedZones.delete(zone)
      // Its endpoints may have become cold during the evacuation; a health check reports that.
      for (const row of endpoints) if (row.record.zone === zone) update(row, { isSuspect: true, nextProbeAtMs: 0 })
      logger.info('zone-taken-back', { zone })
    }
  }

  private applyEndpoints (source: string): void {
    const { endpoints, clock, logger } = this.options
    const nowMs = clock.nowMs()
    const records = this.catalog.entries(CatalogTable.endpoints).flatMap((entry) => entry.kind === 'endpoint' ? [entry.endpoint] : [])
    const version = this.catalog.versionOf(CatalogTable.endpoints)
    const mayHaveLapsed = this.mayHaveLapsed(nowMs)
    for (const { id, isDraining, keptMs } of endpoints.update(records, { nowMs, mayHaveLapsed })) {
      logger.info('endpoint-leaving', { endpoint: id, draining: isDraining, keptMs, mayHaveLapsed, version, source })
    }
    const draining = records.filter((record) => record.isDraining).length
    logger.info('endpoints-changed', { version, known: records.length, draining, source })
  }

  private applyHosts (): void {
    for (const entry of this.catalog.entries(CatalogTable.hosts)) if (entry.kind === 'host') this.options.peers.upsert(entry.host)
  }

  /** Returns true when this host itself has seen no recent outage of the store. */
  isStoreSettled (nowMs: number): boolean {
    const { health } = this.options
    return !health.isDown && health.sinceRecoveryMs(nowMs) >= endpointLimits.lapseGraceMs
  }

  private mayHaveLapsed (nowMs: number): boolean {
    return !this.options.confirmSettled(this.isStoreSettled(nowMs))
  }
}
