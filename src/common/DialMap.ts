import type { Destination } from './Destination.js'
import { parseDestination } from './parseDestination.js'

/** Translates the addresses of outgoing connections by the `dial` table of a settings file. */
export class DialMap {
  constructor (private readonly translations: Readonly<Record<string, string>> = {}) {}

  /**
   * Returns the destination to connect to for `address` (`a.b.c.d:port`).
   * @throws {TypeError} when the address has no valid port
   */
  resolve (address: string): Destination {
    return parseDestination(this.translations[address] ?? address)
  }
}
