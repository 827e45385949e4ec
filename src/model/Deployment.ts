import type { ConfigDoc } from './ConfigDoc.js'

/** The fields of the configuration that `PUT /admin/v1/deployment` replaces: everything except contracts, drains and what the system maintains. */
export type Deployment = Pick<ConfigDoc, 'lineage' | 'zones' | 'hosts' | 'services' | 'endpoints' | 'links' | 'objective'>
