import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { createFailure } from '../common/createFailure.js'
import type { Failure } from '../common/Failure.js'
import type { Route } from '../routing/Route.js'
import type { RoutingTable } from '../routing/RoutingTable.js'
import { hostLimits } from './hostLimits.js'

/** Inputs of the decision. */
interface RouteFinderOptions {
  readonly routing: RoutingTable
  /** Returns for how long in ms the local copy of the configuration may miss changes. */
  readonly getUnconfirmedMs: () => number
  /** Returns for how long in ms another host is known to have a newer configuration; 0 when none is. */
  readonly getBehindMs: () => number
  /** Returns the time in ms after its acknowledgement from which a change must be in force. */
  readonly getMaxUnconfirmedMs: () => number
}

/**
 * Finds the route of a request. Callers take a 404 as final, so a path without a route is denied only while the local copy of the
 * configuration is known to have all changes that must be in force. Otherwise callers are asked to come back, and may reach a host
 * that has the route. Known routes are served also from a copy that can't be confirmed, so that traffic goes on without the store.
 */
export class RouteFinder {
  constructor (private readonly options: RouteFinderOptions) {}

  /** Failures: `unknownService`, and `configUnconfirmed` while a newer configuration may have the route. */
  find (host: string, path: string): Result<Route, Failure> {
    const route = this.options.routing.find(host, path)
    if (route !== undefined) return ok(route)
    return err(this.isComplete() ? createFailure('unknownService') : createFailure('configUnconfirmed', { retryAfterMs: hostLimits.unconfirmedRetryMs }))
  }

  private isComplete (): boolean {
    const { getUnconfirmedMs, getBehindMs, getMaxUnconfirmedMs } = this.options
    return getBehindMs() === 0 && getUnconfirmedMs() <= getMaxUnconfirmedMs()
  }
}
