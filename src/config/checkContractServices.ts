import type { Contract } from '../model/Contract.js'
import type { ServiceSpec } from '../model/ServiceSpec.js'
import type { ConfigProblem } from './ConfigProblem.js'
import { findUnknownReference } from './findUnknownReference.js'
import { formatKeyPath } from './formatKeyPath.js'

/** Reports the services of a contract that are not in the configuration. */
export function checkContractServices (contract: Contract, services: readonly ServiceSpec[]): ConfigProblem[] {
  const known = new Set(services.map(({ name }) => name))
  return contract.services
    .flatMap((service, index) => findUnknownReference('service', ['services', index], service, known))
    .map(({ keys, message }) => ({ path: formatKeyPath(keys), message }))
}
