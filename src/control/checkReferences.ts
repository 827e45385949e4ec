import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { createFailure } from '../common/createFailure.js'
import type { Failure } from '../common/Failure.js'
import type { ConfigDoc } from '../model/ConfigDoc.js'

/** Checks that names are unique and refer to things that the document has. Failure: `invalidDocument`, with the first fault. */
export function checkReferences (doc: ConfigDoc): Result<void, Failure> {
  const fault = findFault(doc)
  return fault === undefined ? ok(undefined) : err(createFailure('invalidDocument', { message: `${fault}.` }))
}

function findFault (doc: ConfigDoc): string | undefined {
  const zones = new Set(doc.zones.map(({ name }) => name))
  const regions = new Set(doc.zones.map(({ region }) => region))
  const services = new Set(doc.services.map(({ name }) => name))
  return findDuplicate('zone', doc.zones.map(({ name }) => name)) ??
    findDuplicate('host', doc.hosts.map(({ name }) => name)) ??
    findDuplicate('service', doc.services.map(({ name }) => name)) ??
    findDuplicate('service path', doc.services.map(({ path }) => path)) ??
    findDuplicate('endpoint', doc.endpoints.map(({ name }) => name)) ??
    findMissing('host', doc.hosts.map(({ name, zone }) => ({ name, target: zone })), 'zone', zones) ??
    findMissing('endpoint', doc.endpoints.map(({ name, zone }) => ({ name, target: zone })), 'zone', zones) ??
    findMissing('endpoint', doc.endpoints.map(({ name, service }) => ({ name, target: service })), 'service', services) ??
    findMissing('contract', doc.contracts.flatMap(({ customer, services: used }) => used.map((target) => ({ name: customer, target }))), 'service', services) ??
    findMissing('link', doc.links.flatMap(({ regions: ends }) => ends.map((target) => ({ name: ends.join('-'), target }))), 'region', regions)
}

function findDuplicate (kind: string, names: readonly string[]): string | undefined {
  const seen = new Set<string>()
  const duplicate = names.find((name) => seen.size === seen.add(name).size)
  return duplicate === undefined ? undefined : `The ${kind} "${duplicate}" appears twice`
}

function findMissing (kind: string, refs: ReadonlyArray<{ name: string, target: string }>, targetKind: string, targets: ReadonlySet<string>): string | undefined {
  const broken = refs.find(({ target }) => !targets.has(target))
  return broken === undefined ? undefined : `The ${kind} "${broken.name}" names the ${targetKind} "${broken.target}", which does not exist`
}
