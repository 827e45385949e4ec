import type { WorkClass } from '../model/WorkClass.js'
import type { RequestBody } from './RequestBody.js'
import type { RequestScope } from './RequestScope.js'

/** A validated request to be sent to an endpoint. */
export interface EntryRequest {
  readonly id: string
  readonly customer: string
  readonly priority: number
  readonly moveStep: number
  readonly service: string
  readonly workClass: WorkClass
  readonly idempotent: boolean
  readonly method: string
  /** Path with the query as received from the caller. */
  readonly path: string
  readonly key: string | undefined
  /** Headers to forward, names and values in turn; without hop-by-hop headers and those of this system. */
  readonly headers: readonly string[]
  readonly scope: RequestScope
  body: RequestBody
}
