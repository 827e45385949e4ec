/** Options of a measuring run. */
export interface MeasurementOptions {
  readonly deployment: 'caroni' | 'kimberley'
  /** Length of each phase of mixed traffic in s. */
  readonly seconds: number
  readonly policy: 'project' | 'random' | 'local' | 'passthrough'
  readonly seed: number
  /** Second octet of the loopback addresses that the deployment uses. */
  readonly network: number
}
