import type { Message } from '../wire/Message.js'
import type { EntryModules } from './EntryModules.js'
import type { EntryState } from './EntryState.js'

/** One step of an explanation for operators. */
interface ExplainStep {
  readonly step: string
  readonly detail: string
}

/** Sources of the explanation. */
interface ExplainSource {
  readonly modules: EntryModules
  readonly state: EntryState
}

/** Describes step by step how a request of `customer` for `service` with `method` would be handled now. */
export function explainRequest (message: Message, source: ExplainSource): ExplainStep[] {
  const { state, modules } = source
  const { customer, service: name, method } = message
  const doc = state.config
  if (doc === undefined) return [{ step: 'config', detail: 'the host has no configuration yet' }]
  const steps: ExplainStep[] = [{ step: 'config', detail: `version ${doc.version}${state.isLeaving ? ', host is leaving' : ''}` }]
  const contract = doc.contracts.find((candidate) => candidate.customer === customer)
  if (contract === undefined) return [...steps, { step: 'contract', detail: `there is no contract for customer "${String(customer)}"` }]
  const service = doc.services.find((candidate) => candidate.name === name)
  if (service === undefined) return [...steps, { step: 'service', detail: `there is no service "${String(name)}"` }]
  const isIncluded = contract.services.includes(service.name)
  steps.push({ step: 'contract', detail: `version ${contract.version}, ${isIncluded ? 'includes the service' : 'does not include the service'}` })
  const route = state.routes?.findRoute(service.path, '', typeof method === 'string' ? method : 'GET')
  steps.push({ step: 'route', detail: route === undefined ? 'no route matches the method' : `${route.workClass}, ${route.idempotent ? 'idempotent' : 'runs at most once'}, deadline ${route.defaultDeadlineMs} ms` })
  const use = modules.share.listUses().find((candidate) => candidate.customer === customer)
  steps.push({ step: 'share', detail: use === undefined ? 'no recent use at this host' : `${use.inFlight} in flight, ${use.rate.toFixed(1)}/s of ${use.rateHeld.toFixed(1)}/s held, ${use.permitsHeld} permits held` })
  return [...steps, ...modules.steer.explain(service.name)]
}
