/** Statuses by which callers take a request as not run, now or later, so that they may send any request again. */
const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503])

/** Returns true when a response with this status tells its caller that the request has not run and never will. */
export function impliesNotRun (status: number): boolean {
  return notRunStatuses.has(status)
}
