import type { IncomingMessage } from 'node:http'

/** What an endpoint says with an answer, besides status and body. */
interface AnswerMetadata {
  /** The endpoint did not run the request and never will. */
  readonly isNotExecuted: boolean
  /** Another endpoint has the address now. */
  readonly isMisdirected: boolean
  /** Load after the answer; undefined when it isn't told. */
  readonly load: { readonly running: number, readonly waiting: number } | undefined
}

/** What a health check of an endpoint found. */
interface HealthReport {
  /** Incarnation that answered. */
  readonly endpoint: string | undefined
  /** Time in ms for which it stays cold. */
  readonly coldMs: number
}

/** Where a caller that looks up hosts is. */
interface LookupRequest {
  readonly region: string
  readonly zone: string
}

/** Names and formats that callers and endpoints of a deployment use. */
export abstract class Dialect {
  /** Id that the caller gave the request; empty when there is none. */
  abstract readRequestId (headers: readonly string[]): string

  /** Time in ms that the caller waits; undefined when it doesn't say. */
  abstract readDeadlineMs (headers: readonly string[]): number | undefined

  /** Object that the request concerns. */
  abstract readObject (headers: readonly string[]): string | undefined

  /** Lower-case names of headers that are set anew for each attempt. */
  abstract readonly ownHeaders: ReadonlySet<string>

  /** Headers of one attempt, names and values in turn. */
  abstract createHeaders (endpoint: string, leftMs: number): string[]

  /** True when an answer belongs to the request with this id. */
  abstract isAnswerTo (requestId: string, headers: readonly string[]): boolean

  abstract readRemark (status: number, headers: readonly string[]): AnswerMetadata

  abstract readHealth (headers: readonly string[]): HealthReport

  abstract formatRetryAfter (ms: number): string

  abstract isReadinessCheck (req: IncomingMessage): boolean

  /** Undefined when the request is no look-up. */
  abstract readLookup (req: IncomingMessage): LookupRequest | undefined

  /** JSON body that names the hosts to use. */
  abstract formatLookup (addresses: readonly string[], ttlMs: number): string
}
