import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { Catalog } from '../catalog/Catalog.js'
import { CatalogTable } from '../catalog/CatalogTable.js'
import { comparePositions } from '../catalog/comparePositions.js'
import type { Clock } from '../common/Clock.js'
import type { Failure } from '../common/Failure.js'
import { formatException } from '../common/formatException.js'
import type { Logger } from '../common/Logger.js'
import type { Message } from '../wire/Message.js'
import type { BehindTable } from './BehindTable.js'
import type { FetchFailure } from './FetchFailure.js'
import { chooseSource } from './chooseSource.js'
import { forwardedPageSchema } from './forwardedPageSchema.js'
import { pageCodec } from './pageCodec.js'
import { PageTransfer } from './PageTransfer.js'
import { peerLimits } from './peerLimits.js'
import type { PeerRow } from './PeerRow.js'
import type { PeerTable } from './PeerTable.js'
import type { PeerTraffic } from './PeerTraffic.js'
import { positionOf } from './positionOf.js'
import { readForwardedPage } from './readForwardedPage.js'
import type { RejectionHandler } from './RejectionHandler.js'

/** Dependencies of the fetches. */
interface TableFetcherOptions {
  readonly region: string
  readonly catalog: Catalog
  readonly peers: PeerTable
  readonly clock: Clock
  readonly logger: Logger
  readonly traffic: PeerTraffic
  readonly random: () => number
  /** Returns true while this host reads the store itself. */
  readonly isReader: () => boolean
  readonly request: (address: string, message: Message, timeoutMs: number) => Promise<Result<Message, Failure>>
  readonly onRejected: RejectionHandler
  /** Called after the local copy of a table has changed. */
  readonly onFetched: (table: CatalogTable) => void
}

/** State of the fetches of one table. Times are monotonic ms. */
interface FetchState {
  /** Start times of the fetches that are under way, by source. */
  readonly current: Map<string, number>
  /** Since when another host is known to have a newer copy. */
  behindSinceMs: number | undefined
  /** Fetches since then that brought nothing, by reason. */
  readonly failures: Map<FetchFailure['kind'], number>
  nextAtMs: number
  backoffMs: number
  /** Hosts that served nothing lately, and until when others are asked first. */
  readonly avoidedUntilMs: Map<string, number>
}

/**
 * Fetches what this host lacks of the shared tables from hosts that have it, as their heartbeats tell. A table is fetched from one
 * host at a time, so it crosses each link once however many hosts have it; only when that takes long is a second host asked beside
 * it, as the first may be gone or overloaded. A fetch that fails is repeated with a backoff; a busy host only gives way to others.
 */
export class TableFetcher {
  private readonly states = new Map<CatalogTable, FetchState>(Object.values(CatalogTable).map((table) => [table, createState()]))
  private readonly pages: PageTransfer

  constructor (private readonly options: TableFetcherOptions) {
    this.pages = new PageTransfer(options)
  }

  /** Begins the fetches that are due. */
  run (nowMs: number): void {
    for (const [table, state] of this.states) this.check(table, state, nowMs)
  }

  /** Returns for how long in ms another host is known to have a newer copy of a table; 0 when none is. */
  getBehindMs (table: CatalogTable, nowMs: number): number {
    return nowMs - (this.states.get(table)?.behindSinceMs ?? nowMs)
  }

  /** Lists the tables of which another host is known to have a newer copy. */
  listBehind (nowMs: number): BehindTable[] {
    return [...this.states].flatMap(([table, state]) => {
      const sources = this.listSources(table, nowMs)
      const { behindSinceMs, current, failures } = state
      if (behindSinceMs === undefined || sources.length === 0) return []
      const newest = Math.max(...sources.map((row) => row.positions!.versions[table]))
      const fetches = [...current].map(([source, startMs]) => ({ source, elapsedMs: nowMs - startMs }))
      return [{ table, behindMs: nowMs - behindSinceMs, newest, held: this.options.catalog.versionOf(table), sources: sources.length, fetches, failures }]
    })
  }

  private check (table: CatalogTable, state: FetchState, nowMs: number): void {
    const sources = this.listSources(table, nowMs)
    if (sources.length === 0) {
      state.behindSinceMs = undefined
      state.failures.clear()
      return
    }
    state.behindSinceMs ??= nowMs
    if (nowMs - state.behindSinceMs < this.fetchDelayMs(table, sources)) return
    const avoided = listAvoided(state, nowMs)
    if (!isDue(state, sources.some((row) => !avoided.has(row.record.name)), nowMs)) return
    const { region, random } = this.options
    const source = chooseSource(sources, { region, random, avoided })
    state.current.set(source.record.name, nowMs)
    this.fetch(table, state, source).catch((error: unknown) =>
      this.options.logger.error('fetch-failed', { table, error: formatException(error) }))
  }

  /**
   * A host that reads the store gets changes from there at the same time, and so do the readers of its region when only other
   * regions are known to have them. A host without a copy waits for nobody.
   */
  private fetchDelayMs (table: CatalogTable, sources: readonly PeerRow[]): number {
    const { catalog, isReader, region } = this.options
    if (catalog.versionOf(table) < 0) return 0
    const isNear = sources.some((row) => row.record.region === region)
    return isReader() || !isNear ? peerLimits.storeFirstMs : 0
  }

  private listSources (table: CatalogTable, nowMs: number): PeerRow[] {
    const { catalog, peers } = this.options
    const own = catalog.resumeAfter(table)
    return peers.listAlive(nowMs).filter(({ positions }) =>
      positions !== undefined && positions.versions[table] >= 0 && comparePositions(positionOf(positions, table, own.era), own) > 0)
  }

  private async fetch (table: CatalogTable, state: FetchState, source: PeerRow): Promise<void> {
    let result: Result<void, FetchFailure> = err({ kind: 'failed' })
    try {
      result = await this.transfer(table, source)
    } finally {
      state.current.delete(source.record.name)
      this.finish(table, state, source, result)
    }
    if (result.isOk()) this.options.onFetched(table)
  }

  private finish (table: CatalogTable, state: FetchState, source: PeerRow, result: Result<void, FetchFailure>): void {
    const { clock, random, traffic } = this.options
    traffic.recordFetch(table, result.isOk() ? 'complete' : result.error.kind)
    if (result.isOk()) return reset(state)
    const nowMs = clock.nowMs()
    const { error } = result
    state.failures.set(error.kind, (state.failures.get(error.kind) ?? 0) + 1)
    state.avoidedUntilMs.set(source.record.name, nowMs + (error.kind === 'busy' ? Math.min(error.waitMs, peerLimits.maxFetchBackoffMs) : peerLimits.maxFetchBackoffMs))
    if (error.kind === 'busy') return
    state.nextAtMs = nowMs + state.backoffMs * (0.5 + random())
    state.backoffMs = Math.min(peerLimits.maxFetchBackoffMs, state.backoffMs * 2)
  }

  /** Succeeds when this host has what the source had. */
  private async transfer (table: CatalogTable, source: PeerRow): Promise<Result<void, FetchFailure>> {
    const { catalog, onRejected } = this.options
    const bytes = await this.pages.transfer(source.record.peerAddress, table, catalog.resumeAfter(table))
    const result = bytes.andThen((value): Result<void, FetchFailure> => this.apply(table, value, source) ? ok() : err({ kind: 'unreadable' }))
    if (result.isErr() && result.error.kind === 'unreadable') onRejected('page-unreadable', { table, peer: source.record.name })
    return result
  }

  /** Returns true when the local copy has all that the page has. */
  private apply (table: CatalogTable, bytes: Uint8Array, source: PeerRow): boolean {
    const { catalog, clock, onRejected } = this.options
    const parsed = forwardedPageSchema.safeParse(decodeSafely(bytes))
    if (!parsed.success) return false
    const page = readForwardedPage(table, parsed.data, onRejected)
    if (page === undefined) return false
    catalog.apply(table, page, clock.nowMs(), source.record.name)
    return comparePositions(page, catalog.resumeAfter(table)) <= 0
  }
}

function decodeSafely (bytes: Uint8Array): unknown {
  try {
    return pageCodec.decode(bytes)
  } catch {
    return undefined
  }
}

/** Lists the hosts that are being asked or served nothing lately. */
function listAvoided ({ current, avoidedUntilMs }: FetchState, nowMs: number): Set<string> {
  for (const [name, untilMs] of avoidedUntilMs) if (nowMs >= untilMs) avoidedUntilMs.delete(name)
  return new Set([...current.keys(), ...avoidedUntilMs.keys()])
}

/** Decides whether to begin a fetch. A second one, or one while all hosts were busy, needs a host that isn't avoided. */
function isDue ({ current, nextAtMs, failures }: FetchState, hasOther: boolean, nowMs: number): boolean {
  if (nowMs < nextAtMs) return false
  if (current.size === 0) return hasOther || !failures.has('busy')
  return hasOther && current.size < peerLimits.maxFetches && nowMs - Math.max(...current.values()) >= peerLimits.hedgeAfterMs
}

function createState (): FetchState {
  return { current: new Map(), behindSinceMs: undefined, failures: new Map(), nextAtMs: 0, backoffMs: peerLimits.minFetchBackoffMs, avoidedUntilMs: new Map() }
}

/** Begins anew after a fetch that brought all that its source had; another one may still be under way. */
function reset (state: FetchState): void {
  Object.assign(state, { ...createState(), current: state.current })
}
