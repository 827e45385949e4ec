/** A request that reached an endpoint, also one that the endpoint shed. */
export interface SoakArrival {
  readonly id: string
  readonly service: string
  readonly atMs: number
}
