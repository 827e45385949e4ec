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
  /** Fetch that is under way. */
  current: { readonly source: string, readonly startMs: number } | undefined
  /** Since when another host is known to have a newer copy. */
  behindSinceMs: number | undefined
  /** Fetches since then that brought nothing, by reason. */
  failures: Map<FetchFailure['kind'], number>
  nextAtMs: number
  backoffMs: number
  /** Host that failed to serve the last fetch; another one is asked next, if there is one. */
  failedSource: string | undefined
}

/**
 * Fetches what this host lacks of the shared tables from hosts that have it, as their heartbeats tell. One fetch of a table is under
 * way at a time, from one host, so a table crosses each link once however many hosts have it, and a fetch that fails is repeated
 * with a backoff.
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
      const fetchMs = current === undefined ? undefined : nowMs - current.startMs
      return [{ table, behindMs: nowMs - behindSinceMs, newest, held: this.options.catalog.versionOf(table), sources: sources.length, source: current?.source, fetchMs, failures }]
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
    if (state.current !== undefined || nowMs < state.nextAtMs || nowMs - state.behindSinceMs < this.fetchDelayMs(table, sources)) return
    const { region, random } = this.options
    const source = chooseSource(sources, { region, random, avoided: new Set(state.failedSource === undefined ? [] : [state.failedSource]) })
    state.current = { source: source.record.name, startMs: nowMs }
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
      state.current = undefined
      this.finish(table, state, source, result)
    }
    if (result.isOk()) this.options.onFetched(table)
  }

  /** Another host that has the table is asked after the pause, also when this one was only busy. */
  private finish (table: CatalogTable, state: FetchState, source: PeerRow, result: Result<void, FetchFailure>): void {
    const { clock, random, traffic } = this.options
    traffic.recordFetch(table, result.isOk() ? 'complete' : result.error.kind)
    if (result.isOk()) {
      Object.assign(state, createState())
      return
    }
    state.failures.set(result.error.kind, (state.failures.get(result.error.kind) ?? 0) + 1)
    state.failedSource = source.record.name
    state.nextAtMs = clock.nowMs() + state.backoffMs * (0.5 + random())
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

function createState (): FetchState {
  return { current: undefined, behindSinceMs: undefined, failures: new Map(), nextAtMs: 0, backoffMs: peerLimits.minFetchBackoffMs, failedSource: undefined }
}
