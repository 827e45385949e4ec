import { unwatchFile, watchFile } from 'node:fs'
import { EventEmitter } from 'node:events'
import type { Clock } from '../common/Clock.js'
import type { BlockTable } from './BlockTable.js'
import { loadBlockTable } from './loadBlockTable.js'
import { parseAddress } from './parseAddress.js'

/** Events: `loaded` after each swap, `failed` when a changed file was refused and the last table stays. */
interface BlockFileEvents {
  loaded: [table: BlockTable, elapsedMs: number]
  failed: [message: string]
}

/** How often the file is checked for changes. */
const defaultPollIntervalMs = 1_000

/** The block table of a file; a changed file is read beside the current table, which is then replaced in one step. */
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

  /** Loads the file and again after every change. */
  start (): void {
    watchFile(this.file, { interval: this.pollIntervalMs }, this.requestReload)
    this.requestReload()
  }

  stop (): void {
    unwatchFile(this.file, this.requestReload)
  }

  /** Site of a client's address; undefined when no block covers it or no table is loaded. */
  findSite (client: string): string | undefined {
    const address = parseAddress(client)
    return address === undefined ? undefined : this.table?.find(address)
  }

  private readonly requestReload = (): void => {
    this.isReloadPending = true
    if (this.isLoading) return
    this.isLoading = true
    this.loadPending().finally(() => { this.isLoading = false }).catch((err: unknown) => this.emit('failed', String(err)))
  }

  /** Loads until the file has not changed during a load. */
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
