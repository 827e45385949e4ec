/** Host and port of a TCP destination. */
export interface Destination {
  readonly host: string
  readonly port: number
}
