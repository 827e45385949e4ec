import * as fc from 'fast-check'

/** A change of one place of a text. */
interface Mutation {
  /** Place as a share of the length, from 0 to 1. */
  readonly at: number
  readonly removed: number
  readonly inserted: string
}

const mutations: fc.Arbitrary<Mutation[]> = fc.array(fc.record({
  at: fc.double({ min: 0, max: 1, noNaN: true }),
  removed: fc.nat(4),
  inserted: fc.oneof(fc.constantFrom('', '\0', '\t', '\f', '\r\n', ' ', ':', '\u00ff', '\x7f', '\r\n\r\n'), fc.string({ maxLength: 3 }))
}), { maxLength: 2 })

/** Generates the texts of `texts`, some of them changed at up to two places. */
export function mutateText (texts: fc.Arbitrary<string>): fc.Arbitrary<string> {
  return fc.tuple(texts, fc.oneof({ weight: 2, arbitrary: fc.constant<Mutation[]>([]) }, { weight: 1, arbitrary: mutations }))
    .map(([text, changes]) => changes.reduce(applyMutation, text))
}

function applyMutation (text: string, { at, removed, inserted }: Mutation): string {
  const index = Math.floor(at * text.length)
  return `${text.slice(0, index)}${inserted}${text.slice(index + removed)}`
}
