import { match } from 'ts-pattern'
import { groupBy } from '../common/groupBy.js'
import type { SoakFinding } from './SoakFinding.js'
import type { SoakLedger } from './SoakLedger.js'
import { soakLimits } from './soakLimits.js'
import type { SoakOrder } from './SoakOrder.js'
import type { SoakRequest } from './SoakRequest.js'
import type { SoakRun } from './SoakRun.js'

/** A request with its runs. */
interface Traced {
  readonly request: SoakRequest
  readonly runs: readonly SoakRun[]
}

/** Statuses that promise that a request has not run and never will. */
const notRunStatuses: readonly number[] = [408, 421, 429, 503]
const okStatus = 200
const notFoundStatus = 404

/** Compares what callers got with what endpoints ran. */
export function checkSoakPromises (ledger: SoakLedger): SoakFinding[] {
  const runsById = groupBy(ledger.runs, (run) => run.id)
  const traced = ledger.requests.map((request) => ({ request, runs: runsById.get(request.id) ?? [] }))
  return [
    ...checkUnasked(ledger),
    ...traced.flatMap((one) => [...checkRuns(one), ...checkAnswer(one), ...checkLost(one, ledger)]),
    ...ledger.orders.flatMap((order) => checkOrder(order, traced, ledger)),
    ...checkRetries(ledger, traced),
    ...checkRecovery(ledger),
    ...ledger.hostFaults.map((detail) => ({ promise: 'hosts run without faults of their own', detail }))
  ]
}

function checkUnasked ({ requests, runs }: SoakLedger): SoakFinding[] {
  const asked = new Map(requests.map((request) => [request.id, request]))
  return runs.flatMap((run) => {
    const request = asked.get(run.id)
    const isSame = request !== undefined && request.method === run.method && request.path === run.path && request.body === run.body
    return isSame ? [] : [{ promise: 'an endpoint runs only what a caller sent, unchanged', detail: `${run.id} at ${run.endpoint}: ${run.method} ${run.path}` }]
  })
}

function checkRuns ({ request, runs }: Traced): SoakFinding[] {
  const findings: SoakFinding[] = []
  if (!request.isIdempotent && runs.length > 1) findings.push({ promise: 'a non-idempotent request runs at most once', detail: `${request.id} at ${runs.map((run) => run.endpoint).join(', ')}` })
  for (const run of runs) {
    // An endpoint may begin with a request long after it was sent on, so only the first deadline is a bound.
    if (run.deadlineMs > request.deadlineMs + soakLimits.deadlineSlackMs) findings.push({ promise: 'an endpoint is handed no more time than is left', detail: `${request.id}: ${run.deadlineMs} ms of ${request.deadlineMs} ms` })
  }
  return findings
}

function checkAnswer ({ request, runs }: Traced): SoakFinding[] {
  const { id, status, signedBy, answerId, answerBody } = request
  const findings: SoakFinding[] = []
  const report = (promise: string, detail: string): void => { findings.push({ promise, detail: `${id}: ${detail}` }) }
  if (!request.isIdempotent && notRunStatuses.includes(status) && runs.length > 0) report('a refusal is true', `${status} after a run at ${runs[0]!.endpoint}`)
  if (status === okStatus && (signedBy === undefined || answerId !== id || answerBody !== `done ${signedBy}`)) report('a success is the whole answer of an endpoint', `signed by ${signedBy ?? 'nobody'} for ${answerId ?? 'nothing'}: ${answerBody.slice(0, 40)}`)
  if (status === okStatus && !runs.some((run) => run.endpoint === signedBy)) report('a success is of an endpoint that ran the request', `${signedBy ?? 'nobody'} didn't run it`)
  return findings
}

/** A planned stop or a change cuts no request that was sent to an endpoint. */
function checkLost ({ request, runs }: Traced, { unplanned }: SoakLedger): SoakFinding[] {
  if (request.status !== 0 || request.hasLeft || runs.length === 0) return []
  if (!unplanned.isUndisturbed(request.host, request.sentAtMs - soakLimits.calmMs, request.endedAtMs)) return []
  return [{ promise: 'planned work cuts no request', detail: `${request.id} at ${request.host}, run by ${runs[0]!.endpoint}, ended after ${Math.round(request.endedAtMs - request.sentAtMs)} ms` }]
}

function checkOrder (order: SoakOrder, traced: readonly Traced[], ledger: SoakLedger): SoakFinding[] {
  return match(order)
    .with({ kind: 'drain' }, (drain) => checkDrain(drain, traced, ledger))
    .with({ kind: 'evacuate' }, (evacuation) => checkEvacuation(evacuation, traced, ledger))
    .with({ kind: 'route' }, (route) => checkRoute(route, traced, ledger))
    .exhaustive()
}

function checkDrain (order: SoakOrder & { kind: 'drain' }, traced: readonly Traced[], { calm }: SoakLedger): SoakFinding[] {
  return traced.flatMap(({ request, runs }) => {
    const late = runs.find((run) => run.endpoint === order.endpoint && run.atMs > order.atMs + soakLimits.drainMs)
    if (late === undefined || request.sentAtMs < order.atMs || !calm.isCalm(request.host, order.atMs, late.atMs)) return []
    return [{ promise: 'a leaving endpoint gets nothing new', detail: `${request.id} at ${request.host}: ${order.endpoint} ran it ${Math.round(late.atMs - order.atMs)} ms after it announced to leave` }]
  })
}

function checkEvacuation (order: SoakOrder & { kind: 'evacuate' }, traced: readonly Traced[], { calm }: SoakLedger): SoakFinding[] {
  return traced.flatMap(({ request, runs }) => {
    const late = runs.find((run) => run.zone === order.zone && run.atMs > order.atMs + soakLimits.evacuationMs && run.atMs < order.untilMs)
    if (late === undefined || request.sentAtMs < order.atMs || !calm.isCalm(request.host, order.atMs, late.atMs)) return []
    return [{ promise: 'an evacuated zone gets nothing', detail: `${request.id} at ${request.host}: ${late.endpoint} of ${order.zone} ran it ${Math.round(late.atMs - order.atMs)} ms after the order` }]
  })
}

function checkRoute (order: SoakOrder & { kind: 'route' }, traced: readonly Traced[], { calm }: SoakLedger): SoakFinding[] {
  return traced.flatMap(({ request, runs }) => {
    const { host, sentAtMs, endedAtMs, status, path } = request
    if (!path.startsWith(order.prefix)) return []
    const isInForce = sentAtMs > order.atMs + soakLimits.configApplyMs && endedAtMs < order.untilMs
    const isGone = sentAtMs > order.untilMs + soakLimits.configApplyMs
    if (isInForce && status === notFoundStatus && calm.isCalm(host, order.atMs, endedAtMs)) return [{ promise: 'a new route is served', detail: `${request.id} at ${host}: ${status} for ${path}` }]
    if (isGone && runs.length > 0 && calm.isCalm(host, order.untilMs, endedAtMs)) return [{ promise: 'a removed route is not served', detail: `${request.id} at ${host}: ${runs[0]!.endpoint} ran ${path}` }]
    return []
  })
}

function checkRetries ({ runs }: SoakLedger, traced: readonly Traced[]): SoakFinding[] {
  const findings: SoakFinding[] = []
  const pathOf = new Map(traced.map(({ request }) => [request.id, request]))
  for (const [service, rows] of groupBy(runs, (run) => run.service)) {
    const seen = new Set<string>()
    const again = rows.filter((run) => seen.has(run.id) || (seen.add(run.id), false)).map((run) => run.atMs).sort((a, b) => a - b)
    const first = rows.filter((run) => pathOf.has(run.id)).map((run) => run.atMs).sort((a, b) => a - b)
    for (const atMs of again) {
      const inWindow = (times: readonly number[]): number => times.filter((time) => time >= atMs && time < atMs + soakLimits.retryWindowMs).length
      const allowed = soakLimits.retryRatio * inWindow(first) + soakLimits.retrySlack
      if (inWindow(again) <= allowed) continue
      findings.push({ promise: 'further attempts stay within the budget', detail: `${service}: ${inWindow(again)} in a window, ${Math.round(allowed)} allowed` })
      break
    }
  }
  return findings
}

function checkRecovery ({ requests, calmFromMs }: SoakLedger): SoakFinding[] {
  const late = requests.filter((request) => request.sentAtMs > calmFromMs + soakLimits.recoveryMs)
  const served = late.filter((request) => request.status === okStatus).length
  if (late.length > 0 && served >= late.length * soakLimits.recoveredShare) return []
  return [{ promise: 'after the last fault requests are served', detail: `${served} of ${late.length}` }]
}
