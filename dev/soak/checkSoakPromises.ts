import { match } from 'ts-pattern'
import { groupBy } from '../common/groupBy.js'
import type { SoakFinding } from './SoakFinding.js'
import type { SoakHistory } from './SoakHistory.js'
import { soakLimits } from './soakLimits.js'
import type { SoakChange } from './SoakChange.js'
import type { SoakRequest } from './SoakRequest.js'
import type { SoakRun } from './SoakRun.js'

/** A request with its runs. */
interface RequestTrace {
  readonly request: SoakRequest
  readonly runs: readonly SoakRun[]
}

/** Statuses that guarantee that a request has not run and never will. */
const notRunStatuses: readonly number[] = [408, 421, 429, 503]
const okStatus = 200
const notFoundStatus = 404

/** Checks the responses that callers received against the requests that endpoints ran. */
export function checkSoakPromises (history: SoakHistory): SoakFinding[] {
  const runsById = groupBy(history.runs, (run) => run.id)
  const traces = history.requests.map((request) => ({ request, runs: runsById.get(request.id) ?? [] }))
  return [
    ...checkUnexpectedRuns(history),
    ...traces.flatMap((trace) => [...checkRuns(trace), ...checkResponse(trace), ...checkCutRequests(trace, history)]),
    ...history.changes.flatMap((change) => checkChange(change, traces, history)),
    ...checkRetries(history),
    ...checkRecovery(history),
    ...history.hostErrors.map((detail) => ({ promise: 'hosts run without faults of their own', detail }))
  ]
}

function checkUnexpectedRuns ({ requests, runs }: SoakHistory): SoakFinding[] {
  const requestsById = new Map(requests.map((request) => [request.id, request]))
  return runs.flatMap((run) => {
    const request = requestsById.get(run.id)
    const isUnchanged = request !== undefined && request.method === run.method && request.path === run.path && request.body === run.body
    return isUnchanged ? [] : [{ promise: 'an endpoint runs only what a caller sent, unchanged', detail: `${run.id} at ${run.endpoint}: ${run.method} ${run.path}` }]
  })
}

function checkRuns ({ request, runs }: RequestTrace): SoakFinding[] {
  const findings: SoakFinding[] = []
  if (!request.isIdempotent && runs.length > 1) findings.push({ promise: 'a non-idempotent request runs at most once', detail: `${request.id} at ${runs.map((run) => run.endpoint).join(', ')}` })
  for (const run of runs) {
    // An endpoint may start a request long after it was forwarded, so the only upper bound is the caller's deadline.
    if (run.deadlineMs > request.deadlineMs + soakLimits.deadlineSlackMs) findings.push({ promise: 'an endpoint is handed no more time than is left', detail: `${request.id}: ${run.deadlineMs} ms of ${request.deadlineMs} ms` })
  }
  return findings
}

function checkResponse ({ request, runs }: RequestTrace): SoakFinding[] {
  const { id, status, signedBy, responseId, responseBody } = request
  const findings: SoakFinding[] = []
  const report = (promise: string, detail: string): void => { findings.push({ promise, detail: `${id}: ${detail}` }) }
  if (!request.isIdempotent && notRunStatuses.includes(status) && runs.length > 0) report('a refusal is true', `${status} after a run at ${runs[0]!.endpoint}`)
  if (status === okStatus && (signedBy === undefined || responseId !== id || responseBody !== `done ${signedBy}`)) report('a success is the whole answer of an endpoint', `signed by ${signedBy ?? 'nobody'} for ${responseId ?? 'nothing'}: ${responseBody.slice(0, 40)}`)
  if (status === okStatus && !runs.some((run) => run.endpoint === signedBy)) report('a success is of an endpoint that ran the request', `${signedBy ?? 'nobody'} didn't run it`)
  return findings
}

/** Checks that planned stops and configuration changes don't interrupt a request that was sent to an endpoint. */
function checkCutRequests ({ request, runs }: RequestTrace, { unplannedDisturbances }: SoakHistory): SoakFinding[] {
  if (request.status !== 0 || request.hasTimedOut || runs.length === 0) return []
  if (!unplannedDisturbances.isUndisturbed(request.host, request.sentAtMs - soakLimits.settleMs, request.endedAtMs)) return []
  return [{ promise: 'planned work cuts no request', detail: `${request.id} at ${request.host}, run by ${runs[0]!.endpoint}, ended after ${Math.round(request.endedAtMs - request.sentAtMs)} ms` }]
}

function checkChange (change: SoakChange, traces: readonly RequestTrace[], history: SoakHistory): SoakFinding[] {
  return match(change)
    .with({ kind: 'drain' }, (drain) => checkDrain(drain, traces, history))
    .with({ kind: 'evacuate' }, (evacuation) => checkEvacuation(evacuation, traces, history))
    .with({ kind: 'route' }, (route) => checkRoute(route, traces, history))
    .with({ kind: 'move' }, (move) => checkMove(move, traces, history))
    .exhaustive()
}

function checkDrain (change: SoakChange & { kind: 'drain' }, traces: readonly RequestTrace[], { disturbances }: SoakHistory): SoakFinding[] {
  return traces.flatMap(({ request, runs }) => {
    const late = runs.find((run) => run.endpoint === change.endpoint && run.atMs > change.atMs + soakLimits.drainMs)
    // The bound holds from an acknowledgement that the store gave while it was stable.
    if (late === undefined || !disturbances.isUndisturbed('store', change.atMs - soakLimits.settleMs, change.atMs)) return []
    if (request.sentAtMs < change.atMs || !disturbances.isHostUndisturbed(request.host, request.sentAtMs, late.atMs)) return []
    return [{ promise: 'a leaving endpoint gets nothing new', detail: `${request.id} at ${request.host}: ${change.endpoint} ran it ${Math.round(late.atMs - change.atMs)} ms after it announced to leave` }]
  })
}

function checkEvacuation (change: SoakChange & { kind: 'evacuate' }, traces: readonly RequestTrace[], { disturbances }: SoakHistory): SoakFinding[] {
  return traces.flatMap(({ request, runs }) => {
    const late = runs.find((run) => run.zone === change.zone && run.atMs > change.atMs + soakLimits.evacuationMs && run.atMs < change.untilMs)
    if (late === undefined || request.sentAtMs < change.atMs || !disturbances.isHostUndisturbed(request.host, request.sentAtMs, late.atMs)) return []
    return [{ promise: 'an evacuated zone gets nothing', detail: `${request.id} at ${request.host}: ${late.endpoint} of ${change.zone} ran it ${Math.round(late.atMs - change.atMs)} ms after the order` }]
  })
}

function checkRoute (change: SoakChange & { kind: 'route' }, traces: readonly RequestTrace[], { disturbances }: SoakHistory): SoakFinding[] {
  return traces.flatMap(({ request, runs }) => {
    const { host, sentAtMs, endedAtMs, status, path } = request
    if (!path.startsWith(change.prefix)) return []
    const isInEffect = sentAtMs > change.atMs + soakLimits.configApplyMs && endedAtMs < change.untilMs
    const isGone = sentAtMs > change.untilMs + soakLimits.configApplyMs
    if (isInEffect && status === notFoundStatus && disturbances.isHostUndisturbed(host, sentAtMs, endedAtMs)) return [{ promise: 'a new route is served', detail: `${request.id} at ${host}: ${status} for ${path}` }]
    if (isGone && runs.length > 0 && disturbances.isHostUndisturbed(host, sentAtMs, endedAtMs)) return [{ promise: 'a removed route is not served', detail: `${request.id} at ${host}: ${runs[0]!.endpoint} ran ${path}` }]
    return []
  })
}

function checkMove (change: SoakChange & { kind: 'move' }, traces: readonly RequestTrace[], { disturbances }: SoakHistory): SoakFinding[] {
  return traces.flatMap(({ request, runs }) => {
    const { host, sentAtMs, endedAtMs, path } = request
    const isBound = path.startsWith(change.prefix) && sentAtMs > change.atMs + soakLimits.configApplyMs && endedAtMs < change.untilMs
    if (!isBound || !disturbances.isHostUndisturbed(host, sentAtMs, endedAtMs)) return []
    const late = `sent ${Math.round(sentAtMs - change.atMs)} ms after the change`
    const old = runs.find((run) => run.service !== change.service)
    const outside = runs.find((run) => run.region !== change.region)
    return [
      ...(old === undefined ? [] : [{ promise: 'a moved route is served by its new service', detail: `${request.id} at ${host}: ${old.endpoint} of ${old.service}, ${late}` }]),
      ...(outside === undefined ? [] : [{ promise: 'a route runs in its allowed regions', detail: `${request.id} at ${host}: ${outside.endpoint} of ${outside.region}, ${late}` }])
    ]
  })
}

/** The requests of a window count by their first arrivals, or those of the window before or half a window before when these have more. */
function checkRetries ({ arrivals }: SoakHistory): SoakFinding[] {
  const findings: SoakFinding[] = []
  const { retryWindowMs, retryRatio, retrySlack } = soakLimits
  for (const [service, serviceArrivals] of groupBy(arrivals, (arrival) => arrival.service)) {
    const seen = new Set<string>()
    const requests: number[] = []
    const retries: number[] = []
    for (const { id, atMs } of serviceArrivals) {
      const times = seen.has(id) ? retries : requests
      times.push(atMs)
      seen.add(id)
    }
    for (const atMs of retries) {
      const inWindow = (times: readonly number[], earlierMs = 0): number => times.filter((time) => time >= atMs - earlierMs && time < atMs - earlierMs + retryWindowMs).length
      const allowed = retryRatio * Math.max(...[0, retryWindowMs / 2, retryWindowMs].map((earlierMs) => inWindow(requests, earlierMs))) + retrySlack
      if (inWindow(retries) <= allowed) continue
      findings.push({ promise: 'further attempts stay within the budget', detail: `${service}: ${inWindow(retries)} in a window, ${Math.round(allowed)} allowed` })
      break
    }
  }
  return findings
}

function checkRecovery ({ requests, faultsEndedMs, lateStalls }: SoakHistory): SoakFinding[] {
  if (lateStalls >= soakLimits.maxLateStalls) return [{ promise: 'after the last fault requests are served', detail: `not shown, as the process of the soak stood still ${lateStalls} times` }]
  const late = requests.filter((request) => request.sentAtMs > faultsEndedMs + soakLimits.recoveryMs)
  const served = late.filter((request) => request.status === okStatus).length
  if (late.length > 0 && served >= late.length * soakLimits.recoveredShare) return []
  return [{ promise: 'after the last fault requests are served', detail: `${served} of ${late.length}` }]
}
