import { createScanner } from 'jsonc-parser'

/** Keys that only one kind of file has. */
const distinctiveKeys: ReadonlyArray<readonly [key: string, kind: 'settings' | 'deployment']> = [
  ['clusterKey', 'settings'], ['platform', 'settings'], ['seeds', 'settings'], ['operators', 'settings'],
  ['lineage', 'deployment'], ['zones', 'deployment'], ['endpoints', 'deployment'], ['objective', 'deployment']
]

/** Token kinds of jsonc-parser, whose own table is a const enum that isolated modules can't read. */
const tokenKinds = { text: 10, end: 17 } as const

/** Guesses what a file is from the keys in it, also when it is damaged; contracts when nothing tells. */
export function detectFileKind (text: string): 'settings' | 'deployment' | 'contracts' {
  const scanner = createScanner(text, true)
  for (let token: number = scanner.scan(); token !== tokenKinds.end; token = scanner.scan()) {
    const found = token === tokenKinds.text ? distinctiveKeys.find(([key]) => key === scanner.getTokenValue()) : undefined
    if (found !== undefined) return found[1]
  }
  return 'contracts'
}
