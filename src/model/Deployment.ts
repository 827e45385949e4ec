import type { ConfigDoc } from './ConfigDoc.js'

/** The part of the configuration that `PUT /admin/v1/deployment` replaces; everything but contracts and drains. */
export type Deployment = Pick<ConfigDoc, 'lineage' | 'zones' | 'hosts' | 'services' | 'endpoints' | 'links' | 'objective'>
