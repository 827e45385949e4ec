/** Host and port of a TCP destination. */
interface Destination {
  readonly host: string
  readonly port: number
}

/** Translates the addresses of outgoing connections, as a settings file's `dial` gives them. */
export class DialMap {
  constructor (private readonly translations: Readonly<Record<string, string>> = {}) {}

  /**
   * Returns where to connect for `address` (`a.b.c.d:port`).
   * @throws {TypeError} when the address has no valid port
   */
  resolve (address: string): Destination {
    const target = this.translations[address] ?? address
    const colon = target.lastIndexOf(':')
    const port = Number(target.slice(colon + 1))
    if (colon < 1 || !Number.isInteger(port) || port < 1 || port > 65_535) {
      throw new TypeError(`address "${target}" is not of the form host:port`)
    }
    return { host: target.slice(0, colon), port }
  }
}
