import { readFileSync } from 'node:fs'

/** Reads the version of the package from the `package.json` above the compiled files. */
export function readVersion (): string {
  const text = readFileSync(new URL('../../../package.json', import.meta.url), 'utf8')
  return (JSON.parse(text) as { version: string }).version
}
