import type { ConfigDoc } from '../model/ConfigDoc.js'

/** The parts of the configuration that are not contracts, drains or upkeep. */
export type Deployment = Omit<ConfigDoc, 'version' | 'contracts' | 'drains' | 'priorCaps'>
