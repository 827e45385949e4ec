import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { createFailure } from '../common/createFailure.js'
import type { Failure } from '../common/Failure.js'
import type { ConfigDoc } from '../model/ConfigDoc.js'
import type { ObjectStore } from '../platform/ObjectStore.js'
import type { TableService } from '../platform/TableService.js'
import type { WriteReply } from '../platform/WriteReply.js'
import { configDocSchema } from './configDocSchema.js'
import type { ConfigHead } from './ConfigHead.js'
import { headSchema } from './headSchema.js'
import type { HeldConfig } from './HeldConfig.js'
import type { PlatformHead } from './PlatformHead.js'

const headRow = 'config/head'

/** Stores the configuration on the platform: one object per version, and a head row that names the accepted one. */
export class ConfigStore {
  constructor (private readonly table: TableService, private readonly objects: ObjectStore) {}

  /** Reads the head row. Failures: `platformUnavailable`, `configRolledBack` when the row's value is not a valid head. */
  async readHead (): Promise<Result<PlatformHead, Failure>> {
    const row = await this.table.read(headRow)
    if (row.isErr()) return err(row.error)
    if (row.value === undefined) return ok({ rowVersion: 0, head: undefined })
    return parseHead(row.value.version, row.value.value)
  }

  /** Reads the document that a head names. Failures: `platformUnavailable`, `configRolledBack`. */
  async readDoc (head: ConfigHead): Promise<Result<HeldConfig, Failure>> {
    const bytes = await this.objects.read(head.object)
    if (bytes.isErr()) return err(bytes.error)
    const doc = bytes.value === undefined ? undefined : parseDoc(bytes.value)
    if (doc === undefined || doc.version !== head.version || doc.lineage !== head.lineage) {
      return err(createFailure('configRolledBack', { message: `Object "${head.object}" is missing or is not the document that the head names.` }))
    }
    return ok({ doc, writeId: head.writeId })
  }

  async writeDoc (name: string, doc: ConfigDoc): Promise<Result<void, Failure>> {
    return await this.objects.write(name, Buffer.from(JSON.stringify(doc)))
  }

  /** Replaces the head if its row still has `rowVersion` (compare-and-set); returns the stored head on a conflict. */
  async updateHead (rowVersion: number, head: ConfigHead): Promise<Result<PlatformHead | 'updated', Failure>> {
    const reply = await this.table.write({ row: headRow, ifVersion: rowVersion, value: head })
    return reply.andThen((value) => parseUpdateReply(value))
  }
}

function parseUpdateReply (reply: WriteReply): Result<PlatformHead | 'updated', Failure> {
  if (reply.written) return ok('updated')
  if (reply.version === 0) return ok({ rowVersion: 0, head: undefined })
  return parseHead(reply.version, reply.value)
}

function parseHead (rowVersion: number, value: unknown): Result<PlatformHead, Failure> {
  const head = headSchema.safeParse(value)
  if (!head.success) return err(createFailure('configRolledBack', { message: 'The value of row "config/head" is not a valid head.' }))
  return ok({ rowVersion, head: head.data })
}

function parseDoc (bytes: Buffer): ConfigDoc | undefined {
  try {
    const parsed = configDocSchema.safeParse(JSON.parse(bytes.toString('utf8')))
    return parsed.success ? parsed.data : undefined
  } catch {
    return undefined
  }
}
