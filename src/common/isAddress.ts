import { isIPv4 } from 'node:net'

const maxPort = 65_535

/** Returns true for `a.b.c.d:port` with a port from 1 to 65,535, to which a connection can be opened. */
export function isAddress (text: string): boolean {
  const colon = text.lastIndexOf(':')
  const port = text.slice(colon + 1)
  return isIPv4(text.slice(0, colon)) && /^[1-9]\d{0,4}$/.test(port) && Number(port) <= maxPort
}
