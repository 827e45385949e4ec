import { unwatchFile, watchFile } from 'node:fs'
import { EventEmitter } from 'node:events'
import type { Clock } from '../common/Clock.js'
import type { BlockTable } from './BlockTable.js'
import { loadBlockTable } from './loadBlockTable.js'
import { parseAddress } from './parseAddress.js'

/** Events: `loaded` when a new table is in use, `failed` when a file was rejected and the previous table stays in use. */
interface BlockFileEvents {
  loaded: [table: BlockTable, elapsedMs: number]
  failed: [message: string]
}

const defaultPollIntervalMs = 1_000

/** Watches a block file and holds its table. The table of a changed file replaces the current one once it is completely loaded. */
export class BlockFile extends EventEmitter<BlockFileEvents> {
  private table: BlockTable | undefined
  private isLoading = false
  private isReloadPending = false

  constructor (private readonly file: string, private readonly clock: Clock, private readonly pollIntervalMs: number = defaultPollIntervalMs) {
    super()
  }

  get current (): BlockTable | undefined {
    return this.table
  }

  /** Loads the file and watches it for changes. */
  start (): void {
    watchFile(this.file, { interval: this.pollIntervalMs }, this.requestReload)
    this.requestReload()
  }

  stop (): void {
    unwatchFile(this.file, this.requestReload)
  }

  /** Returns the site of a client's address; undefined when no block covers the address or no table is loaded. */
  findSite (client: string): string | undefined {
    const address = parseAddress(client)
    return address === undefined ? undefined : this.table?.findSite(address)
  }

  private readonly requestReload = (): void => {
    this.isReloadPending = true
    if (this.isLoading) return
    this.isLoading = true
    this.loadPending().finally(() => { this.isLoading = false }).catch((err: unknown) => this.emit('failed', String(err)))
  }

  /** Loads the file, and loads it again when it changed during the load. */
  private async loadPending (): Promise<void> {
    while (this.isReloadPending) {
      this.isReloadPending = false
      const startMs = this.clock.nowMs()
      const result = await loadBlockTable(this.file)
      if (result.isErr()) {
        this.emit('failed', result.error)
        continue
      }
      this.table = result.value
      this.emit('loaded', result.value, this.clock.nowMs() - startMs)
    }
  }
}
