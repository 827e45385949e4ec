/** Tables of shared state that every host replicates. */
export const CatalogTable = {
  /** Routing configuration and zone evacuations, written by operators. */
  orders: 'orders',
  /** Registered endpoints. */
  endpoints: 'endpoints',
  /** Registered hosts. */
  hosts: 'hosts'
} as const

export type CatalogTable = typeof CatalogTable[keyof typeof CatalogTable]
