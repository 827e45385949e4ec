/** Kind of object that a drain applies to. */
export const DrainKind = {
  upstream: 'upstream',
  zone: 'zone',
  host: 'host'
} as const

export type DrainKind = typeof DrainKind[keyof typeof DrainKind]
