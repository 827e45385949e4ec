import type { Destination } from './Destination.js'
import { parseDestination } from './parseDestination.js'

/** Translates the addresses of outgoing connections, as a settings file's `dial` gives them. */
export class DialMap {
  constructor (private readonly translations: Readonly<Record<string, string>> = {}) {}

  /**
   * Returns where to connect for `address` (`a.b.c.d:port`).
   * @throws {TypeError} when the address has no valid port
   */
  resolve (address: string): Destination {
    return parseDestination(this.translations[address] ?? address)
  }
}
