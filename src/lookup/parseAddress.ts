import { isIPv4 } from 'node:net'

const mappedPrefix = '::ffff:'

/** Parses an IPv4 address, also in its IPv6-mapped form, to an unsigned 32 bit integer; undefined for anything else. */
export function parseAddress (text: string): number | undefined {
  const plain = text.toLowerCase().startsWith(mappedPrefix) ? text.slice(mappedPrefix.length) : text
  if (!isIPv4(plain)) return undefined
  return plain.split('.').reduce((address, part) => address * 256 + Number(part), 0)
}
