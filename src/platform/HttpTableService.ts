import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { z } from 'zod'
import { createFailure } from '../common/createFailure.js'
import type { Failure } from '../common/Failure.js'
import { Outcome } from '../common/Outcome.js'
import { encodePath } from './encodePath.js'
import { parseReply } from './parseReply.js'
import type { PlatformHttp } from './PlatformHttp.js'
import type { TableRow } from './TableRow.js'
import { TableService } from './TableService.js'
import type { TableWrite } from './TableWrite.js'
import type { WriteReply } from './WriteReply.js'

const versionSchema = z.number().int().nonnegative()
const rowSchema = z.object({ version: versionSchema.min(1), value: z.unknown() })
const writtenSchema = z.object({ version: versionSchema.min(1) })
const conflictSchema = z.object({ version: versionSchema, value: z.unknown() })
const unread = { name: 'platformUnavailable', outcome: Outcome.notRun } as const
const unsettled = { name: 'writeUnknown', outcome: Outcome.unknown } as const

/** Table service over the platform's HTTP interface. */
export class HttpTableService extends TableService {
  constructor (private readonly http: PlatformHttp) {
    super()
  }

  override async read (row: string): Promise<Result<TableRow | undefined, Failure>> {
    const result = await this.http.call({ method: 'GET', path: `/table/${encodePath(row)}` })
    if (result.isErr()) return err(result.error)
    const { status, body } = result.value
    if (status === 404) return ok(undefined)
    if (status !== 200) return err(createFailure('platformUnavailable', { message: `reading row "${row}" gave status ${status}` }))
    return parseReply(rowSchema, body, unread)
  }

  override async write ({ row, ifVersion, value }: TableWrite): Promise<Result<WriteReply, Failure>> {
    return await this.send('PUT', `/table/${encodePath(row)}`, { ifVersion, value })
  }

  override async transact (writes: readonly TableWrite[]): Promise<Result<WriteReply, Failure>> {
    return await this.send('POST', '/table/transact', { writes })
  }

  private async send (method: 'PUT' | 'POST', path: string, payload: unknown): Promise<Result<WriteReply, Failure>> {
    const result = await this.http.call({ method, path, body: Buffer.from(JSON.stringify(payload)) })
    if (result.isErr()) return err(result.error)
    const { status, body } = result.value
    if (status === 409) return parseReply(conflictSchema, body, unread).map((reply) => ({ written: false, ...reply }))
    if (status >= 400) return err(createFailure('platformUnavailable', { message: `${method} ${path} was rejected with status ${status}` }))
    return parseReply(writtenSchema, body, unsettled).map(({ version }) => ({ written: true, version }))
  }
}
