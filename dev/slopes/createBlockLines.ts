import { formatAddress } from '../../src/lookup/formatAddress.js'

const siteCount = 840
const gapShare = 0.3

/**
 * Yields `count` lines of a block file: disjoint prefixes of 24 to 27 bits at 840 sites, about three in ten of them
 * preceded by a gap. Equal counts yield equal lines.
 */
export function * createBlockLines (count: number): Generator<string> {
  let address = 0x01000000
  let seed = 1
  const next = (): number => {
    // Linear congruential generator (Numerical Recipes); only reproducibility matters here.
    seed = (Math.imul(seed, 1_664_525) + 1_013_904_223) >>> 0
    return seed / 2 ** 32
  }
  for (let index = 0; index < count; index++) {
    const prefixLength = 24 + Math.floor(next() * 4)
    const size = 2 ** (32 - prefixLength)
    address = Math.ceil(address / size) * size + (next() < gapShare ? size : 0)
    yield `${formatAddress(address)}/${prefixLength} site-${Math.floor(next() * siteCount)}`
    address += size
  }
}
