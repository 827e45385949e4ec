import type { IncomingMessage } from 'node:http'
import type { EndpointNotice } from '../endpoints/EndpointNotice.js'

/** Metadata of an endpoint's answer besides status and body. */
interface AnswerMetadata {
  /** True for a refusal. */
  readonly isNotExecuted: boolean
  /** True when the address now belongs to another endpoint. */
  readonly isMisdirected: boolean
  readonly notice: EndpointNotice
}

/** Result of a health check of an endpoint. */
interface HealthReport {
  /** Id of the endpoint incarnation that answered. */
  readonly endpoint: string | undefined
  /** Remaining cold time in ms. */
  readonly coldMs: number
  readonly leaving: EndpointNotice['leaving']
}

/** Location of a caller that looks up hosts. */
interface LookupRequest {
  readonly region: string
  readonly zone: string
}

/** Header names and message formats that callers and endpoints of a deployment use. */
export abstract class HttpBinding {
  /** Returns the request id set by the caller, or an empty string. */
  abstract readRequestId (headers: readonly string[]): string

  /** Returns the time in ms that the caller waits; undefined when not given. */
  abstract readDeadlineMs (headers: readonly string[]): number | undefined

  /** Returns the key of the object that the request concerns. */
  abstract readObject (headers: readonly string[]): string | undefined

  /** Lower-case names of the headers that are replaced for each attempt. */
  abstract readonly perAttemptHeaders: ReadonlySet<string>

  /** Creates the headers of one attempt as alternating names and values. */
  abstract createHeaders (endpoint: string, leftMs: number): string[]

  /** Returns true when a response belongs to the request with this id, and not to an earlier one on a reused connection. */
  abstract isAnswerTo (requestId: string, headers: readonly string[], isReusedConnection: boolean): boolean

  /** Returns true when a response states that the endpoint did not run the request and never will. */
  abstract isRefusal (status: number, headers: readonly string[]): boolean

  abstract readAnswerMetadata (status: number, headers: readonly string[]): AnswerMetadata

  abstract readHealth (headers: readonly string[]): HealthReport

  abstract formatRetryAfter (ms: number): string

  abstract isReadinessCheck (req: IncomingMessage): boolean

  /** Returns undefined when the request is not a lookup. */
  abstract readLookup (req: IncomingMessage): LookupRequest | undefined

  /** Formats the JSON body that lists the hosts to use. */
  abstract formatLookup (addresses: readonly string[], ttlMs: number): string
}
