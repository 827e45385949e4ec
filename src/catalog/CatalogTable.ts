/** Tables of shared facts that every host follows. */
export const CatalogTable = {
  /** Configuration and evacuations, written by operators. */
  orders: 'orders',
  /** Registered endpoints. */
  endpoints: 'endpoints',
  /** Registered hosts of the system. */
  hosts: 'hosts'
} as const

export type CatalogTable = typeof CatalogTable[keyof typeof CatalogTable]
