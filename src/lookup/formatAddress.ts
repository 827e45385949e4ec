/** Formats an unsigned 32 bit integer as an IPv4 address. */
export function formatAddress (address: number): string {
  return [address >>> 24, (address >>> 16) & 0xff, (address >>> 8) & 0xff, address & 0xff].join('.')
}
