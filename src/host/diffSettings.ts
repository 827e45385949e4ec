import type { HostSettings } from './HostSettings.js'

/** A field that differs between two versions of the settings. */
interface SettingsChange {
  /** Dotted path of the field. */
  readonly field: string
  readonly from: string
  readonly to: string
  /** False when the change takes effect only after a restart. */
  readonly isReloadable: boolean
}

/** Top-level fields that can change without a restart. */
const reloadableFields: readonly string[] = ['bounds', 'seeds', 'regionOfZone', 'linkMbps']

/** Lists the fields that differ between the current settings and those just read. */
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

/** Returns the values of all fields as strings by dotted path. An array counts as one field. */
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
