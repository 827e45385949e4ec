import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { createFailure } from '../../src/common/createFailure.js'
import type { Failure } from '../../src/common/Failure.js'
import { HostList } from '../../src/platform/HostList.js'
import type { ListedHost } from '../../src/platform/ListedHost.js'
import { ObjectStore } from '../../src/platform/ObjectStore.js'
import type { TableRow } from '../../src/platform/TableRow.js'
import { TableService } from '../../src/platform/TableService.js'
import type { TableWrite } from '../../src/platform/TableWrite.js'
import type { WriteReply } from '../../src/platform/WriteReply.js'

const unavailable = createFailure('platformUnavailable')
const unconfirmed = createFailure('writeUnknown', { outcome: 'unknown' })

/** In-memory platform with faults that tests inject. */
export class MemoryPlatform {
  listedHosts: ListedHost[] = []
  isDown = false
  /** Duration in ms of a read of a row. */
  readDelayMs = 0
  tableReads = 0
  /** Number of coming writes that take effect but lose their response. */
  lostResponses = 0
  /** Number of coming writes that are lost before they take effect; the caller receives the same failure as for a lost response. */
  lostRequests = 0
  /** Called before the next write of a row, so that another writer can write first. */
  beforeWrite: () => Promise<void> = async () => {}

  readonly table: TableService = new MemoryTable(this)
  readonly objects: ObjectStore = new MemoryObjects(this)
  readonly hosts: HostList = new MemoryHosts(this)

  /** Two platforms with the same contents are one platform with faults for some agents only. */
  constructor (readonly rows = new Map<string, TableRow>(), readonly bytes = new Map<string, Buffer>()) {}

  write ({ row, ifVersion, value }: TableWrite): Result<WriteReply, Failure> {
    if (this.isDown) return err(unavailable)
    if (this.lostRequests > 0) {
      this.lostRequests -= 1
      return err(unconfirmed)
    }
    const current = this.rows.get(row)
    if ((current?.version ?? 0) !== ifVersion) return ok({ written: false, version: current?.version ?? 0, value: current?.value })
    this.rows.set(row, { version: ifVersion + 1, value: JSON.parse(JSON.stringify(value)) as unknown })
    if (this.lostResponses === 0) return ok({ written: true, version: ifVersion + 1 })
    this.lostResponses -= 1
    return err(unconfirmed)
  }
}

class MemoryTable extends TableService {
  constructor (private readonly platform: MemoryPlatform) {
    super()
  }

  override async read (row: string): Promise<Result<TableRow | undefined, Failure>> {
    this.platform.tableReads += 1
    if (this.platform.readDelayMs > 0) await new Promise((resolve) => setTimeout(resolve, this.platform.readDelayMs))
    return this.platform.isDown ? err(unavailable) : ok(this.platform.rows.get(row))
  }

  override async write (write: TableWrite): Promise<Result<WriteReply, Failure>> {
    const { beforeWrite } = this.platform
    this.platform.beforeWrite = async () => {}
    await beforeWrite()
    return this.platform.write(write)
  }

  override async transact ([write]: readonly TableWrite[]): Promise<Result<WriteReply, Failure>> {
    return this.platform.write(write!)
  }
}

class MemoryObjects extends ObjectStore {
  constructor (private readonly platform: MemoryPlatform) {
    super()
  }

  override async read (name: string): Promise<Result<Buffer | undefined, Failure>> {
    return this.platform.isDown ? err(unavailable) : ok(this.platform.bytes.get(name))
  }

  override async write (name: string, bytes: Buffer): Promise<Result<void, Failure>> {
    if (this.platform.isDown) return err(unavailable)
    this.platform.bytes.set(name, bytes)
    return ok(undefined)
  }
}

class MemoryHosts extends HostList {
  constructor (private readonly platform: MemoryPlatform) {
    super()
  }

  override async read (): Promise<Result<readonly ListedHost[], Failure>> {
    return this.platform.isDown ? err(unavailable) : ok(this.platform.listedHosts)
  }
}
