import type { Result } from 'neverthrow'
import { checkSettings } from './checkSettings.js'
import type { ConfigProblem } from './ConfigProblem.js'
import { parseText } from './parseText.js'
import type { Settings } from './Settings.js'
import { settingsSchema } from './settingsSchema.js'
import { validateValue } from './validateValue.js'

/** Parses the text of a settings file; `file` is the name in reported problems. */
export function parseSettings (text: string, file: string): Result<Settings, ConfigProblem[]> {
  return parseText(text, file, (value) => validateValue<Settings>(settingsSchema, checkSettings, value))
}
