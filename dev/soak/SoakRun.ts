/** A request that an endpoint began to serve. */
export interface SoakRun {
  readonly id: string
  readonly endpoint: string
  readonly service: string
  readonly zone: string
  readonly region: string
  readonly method: string
  readonly path: string
  readonly body: string
  readonly deadlineMs: number
  readonly atMs: number
}
