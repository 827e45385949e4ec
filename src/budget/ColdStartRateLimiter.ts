import { SharedRateLimiter } from './SharedRateLimiter.js'

/** Number of hosts that may send to a cold endpoint. */
const sendersPerEndpoint = 3

/** Share of the permitted rate that is used; the margin covers hosts with differing views of the membership. */
const safetyFactor = 0.9

/** Limits the requests to cold endpoints, at the rate that the configuration sets for their service. */
export class ColdStartRateLimiter extends SharedRateLimiter {
  protected override countSenders (): number {
    return sendersPerEndpoint
  }

  protected override computeIntervalMs (perSecond: number): number {
    return 1_000 * sendersPerEndpoint / (safetyFactor * perSecond)
  }

  protected override computeCapacity (): number {
    return 1
  }
}
