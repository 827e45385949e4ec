import type { HostSettings } from './HostSettings.js'

/** One field that differs between two readings of the settings. */
interface SettingsChange {
  /** Dotted name of the field. */
  readonly field: string
  readonly from: string
  readonly to: string
  /** False when only a restart can bring the change into force. */
  readonly isReloadable: boolean
}

/** First words of the fields that a running process takes over. */
const reloadableFields: readonly string[] = ['bounds', 'seeds', 'regionOfZone', 'linkMbps']

/** Lists what differs between the settings in force and those just read. */
export function diffSettings (current: HostSettings, next: HostSettings): SettingsChange[] {
  const before = flatten(current)
  const after = flatten(next)
  return [...new Set([...before.keys(), ...after.keys()])]
    .filter((field) => before.get(field) !== after.get(field))
    .map((field) => ({
      field,
      from: before.get(field) ?? '',
      to: after.get(field) ?? '',
      isReloadable: reloadableFields.includes(field.split('.', 1)[0]!)
    }))
}

/** Texts of all fields by their dotted names; a list counts as one field. */
function flatten (value: object, prefix = ''): Map<string, string> {
  const fields = new Map<string, string>()
  for (const [key, inner] of Object.entries(value) as Array<[string, unknown]>) {
    const field = `${prefix}${key}`
    if (typeof inner === 'object' && inner !== null && !Array.isArray(inner)) {
      for (const [name, text] of flatten(inner, `${field}.`)) fields.set(name, text)
    } else {
      fields.set(field, String(inner))
    }
  }
  return fields
}
