import type { WorkClass } from '../model/WorkClass.js'
import type { RequestBody } from './RequestBody.js'
import type { RequestScope } from './RequestScope.js'

/** A checked request on its way to an endpoint. */
export interface EntryRequest {
  readonly id: string
  readonly customer: string
  readonly priority: number
  readonly moveStep: number
  readonly service: string
  readonly workClass: WorkClass
  readonly idempotent: boolean
  readonly method: string
  /** Path with the query, as the caller sent it. */
  readonly path: string
  readonly key: string | undefined
  /** Headers to pass on, names and values in turn; without those of one connection and of this system. */
  readonly headers: readonly string[]
  readonly scope: RequestScope
  body: RequestBody
}
