import { readFileSync } from 'node:fs'
import { err } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { ConfigProblem } from './ConfigProblem.js'
import { parseSettings } from './parseSettings.js'
import type { Settings } from './Settings.js'

/** Reads a host's settings file. Fails with one problem when it cannot be read, else with all problems in it. */
export function loadSettings (path: string): Result<Settings, ConfigProblem[]> {
  let text: string
  try {
    text = readFileSync(path, 'utf8')
  } catch (cause) {
    return err([{ file: path, path: '', message: `the file cannot be read (${(cause as NodeJS.ErrnoException).code ?? 'unknown error'})` }])
  }
  return parseSettings(text, path)
}
