const plainKey = /^[\w-]+$/

/** Formats keys as a path such as `hosts[2].zone`; keys with other characters are quoted. */
export function formatKeyPath (keys: readonly (string | number)[]): string {
  return keys.map(formatKey).join('').replace(/^\./, '')
}

function formatKey (key: string | number): string {
  if (typeof key === 'number') return `[${key}]`
  return plainKey.test(key) ? `.${key}` : `[${JSON.stringify(key)}]`
}
