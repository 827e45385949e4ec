const plainValue = /^[\w.:/@+-]+$/

/**
 * Formats fields as `key=value` pairs on one line. Values with other characters are quoted as JSON strings,
 * so that data from outside can't break the line.
 */
export function formatFields (fields: Readonly<Record<string, unknown>>): string {
  return Object.entries(fields)
    .filter(([, value]) => value !== undefined)
    .map(([key, value]) => `${key}=${formatValue(value)}`)
    .join(' ')
}

function formatValue (value: unknown): string {
  if (typeof value === 'number' || typeof value === 'boolean') return String(value)
  const text = typeof value === 'string' ? value : JSON.stringify(value) ?? 'undefined'
  return plainValue.test(text) ? text : JSON.stringify(text).replace(/[\u007f-\u009f\u2028\u2029]/g, escapeCharacter)
}

function escapeCharacter (character: string): string {
  return `\\u${character.charCodeAt(0).toString(16).padStart(4, '0')}`
}
