/** Limits of a contract that are divided among hosts, with the matching field of a portion. */
export const capFields = [
  { field: 'rate', portionField: 'rate' },
  { field: 'burst', portionField: 'burst' },
  { field: 'concurrency', portionField: 'permits' },
  { field: 'uploadBytesPerSecond', portionField: 'upload' }
] as const
