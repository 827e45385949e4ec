import type { Destination } from './Destination.js'

const maxPort = 65_535

/**
 * Splits `a.b.c.d:port`.
 * @throws {TypeError} when the address has no valid port
 */
export function parseDestination (address: string): Destination {
  const colon = address.lastIndexOf(':')
  const port = Number(address.slice(colon + 1))
  if (colon < 1 || !Number.isInteger(port) || port < 1 || port > maxPort) {
    throw new TypeError(`address "${address}" is not of the form host:port`)
  }
  return { host: address.slice(0, colon), port }
}
