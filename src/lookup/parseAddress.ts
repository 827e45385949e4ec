import { isIPv4 } from 'node:net'

const mappedPrefix = '::ffff:'

/** Parses a plain or IPv6-mapped IPv4 address to an unsigned 32 bit integer; returns undefined for any other text. */
export function parseAddress (text: string): number | undefined {
  const ipv4Text = text.toLowerCase().startsWith(mappedPrefix) ? text.slice(mappedPrefix.length) : text
  if (!isIPv4(ipv4Text)) return undefined
  return ipv4Text.split('.').reduce((address, octet) => address * 256 + Number(octet), 0)
}
