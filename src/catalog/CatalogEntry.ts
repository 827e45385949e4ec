import type { EndpointRecord } from '../endpoints/EndpointRecord.js'
import type { RoutingConfig } from '../routing/RoutingConfig.js'
import type { HostRecord } from '../peers/HostRecord.js'

/** Content of one table row. */
export type CatalogEntry =
  | { readonly kind: 'routing', readonly config: RoutingConfig }
  | { readonly kind: 'evacuation', readonly zone: string }
  | { readonly kind: 'endpoint', readonly endpoint: EndpointRecord }
  | { readonly kind: 'host', readonly host: HostRecord }
