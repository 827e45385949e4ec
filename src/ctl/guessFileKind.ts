import { createScanner } from 'jsonc-parser'

/** Keys that occur in only one kind of file. */
const distinctiveKeys: ReadonlyArray<readonly [key: string, kind: 'settings' | 'deployment']> = [
  ['clusterKey', 'settings'], ['platform', 'settings'], ['seeds', 'settings'], ['operators', 'settings'],
  ['lineage', 'deployment'], ['zones', 'deployment'], ['endpoints', 'deployment'], ['objective', 'deployment']
]

/** Token kinds of jsonc-parser, which declares them as a const enum that isolated modules cannot use. */
const tokenKinds = { text: 10, end: 17 } as const

/** Guesses the kind of a file from its keys, even when its syntax is invalid; defaults to contracts. */
export function guessFileKind (text: string): 'settings' | 'deployment' | 'contracts' {
  const scanner = createScanner(text, true)
  for (let token: number = scanner.scan(); token !== tokenKinds.end; token = scanner.scan()) {
    const found = token === tokenKinds.text ? distinctiveKeys.find(([key]) => key === scanner.getTokenValue()) : undefined
    if (found !== undefined) return found[1]
  }
  return 'contracts'
}
