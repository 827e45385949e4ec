import { readFileSync } from 'node:fs'
import { parseContracts } from '../../src/config/parseContracts.js'
import { parseDeployment } from '../../src/config/parseDeployment.js'
import type { ConfigDoc } from '../../src/model/ConfigDoc.js'

/** Creates configuration version 1 from the Caroni example, with changes. */
export function createDoc (changes: Partial<ConfigDoc> = {}): ConfigDoc {
  const deployment = parseDeployment(readFileSync('examples/caroni/deployment.jsonc', 'utf8'), 'd')._unsafeUnwrap()
  const contracts = parseContracts(readFileSync('examples/caroni/contracts.jsonc', 'utf8'), 'c')._unsafeUnwrap()
  return { ...deployment, contracts, version: 1, drains: [], priorCaps: [], ...changes }
}
