import type { HostPorts } from './HostPorts.js'

/** An entry host of the configuration. */
export interface HostSpec {
  readonly name: string
  readonly zone: string
  /** IP address on which all ports of the host listen. */
  readonly address: string
  readonly ports: HostPorts
}
