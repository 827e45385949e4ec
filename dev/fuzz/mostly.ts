import * as fc from 'fast-check'

const oddNumbers = fc.constantFrom(-1, 0, 1.5, 1e15, 1e300, Number.MAX_SAFE_INTEGER)
const oddValues = fc.oneof(oddNumbers, fc.constantFrom<unknown>(null, '', [], {}, true), fc.string())

/** Mostly `value`, sometimes anything else, sometimes missing. */
export function mostly (value: fc.Arbitrary<unknown>): fc.Arbitrary<unknown> {
  return fc.oneof({ weight: 12, arbitrary: value }, { weight: 1, arbitrary: oddValues }, { weight: 1, arbitrary: fc.constant(undefined) })
}
