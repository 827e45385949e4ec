import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { createFailure } from '../common/createFailure.js'
import type { Failure } from '../common/Failure.js'
import { encodePath } from './encodePath.js'
import { ObjectStore } from './ObjectStore.js'
import type { PlatformHttp } from './PlatformHttp.js'

/** Object store over the platform's HTTP interface. */
export class HttpObjectStore extends ObjectStore {
  constructor (private readonly http: PlatformHttp) {
    super()
  }

  override async read (name: string): Promise<Result<Buffer | undefined, Failure>> {
    const result = await this.http.call({ method: 'GET', path: `/objects/${encodePath(name)}` })
    if (result.isErr()) return err(result.error)
    const { status, body } = result.value
    if (status === 404) return ok(undefined)
    if (status !== 200) return err(createFailure('platformUnavailable', { message: `reading object "${name}" gave status ${status}` }))
    return ok(body)
  }

  override async write (name: string, bytes: Buffer): Promise<Result<void, Failure>> {
    const path = `/objects/${encodePath(name)}`
    const result = await this.http.call({ method: 'PUT', path, body: bytes, contentType: 'application/octet-stream' })
    if (result.isErr()) return err(result.error)
    const { status } = result.value
    if (status >= 400) return err(createFailure('platformUnavailable', { message: `writing object "${name}" was rejected with status ${status}` }))
    return ok(undefined)
  }
}
