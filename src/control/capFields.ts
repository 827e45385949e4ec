/** The limits of a contract that are divided among hosts, with the part of a portion that each becomes. */
export const capFields = [
  { field: 'rate', portionField: 'rate' },
  { field: 'burst', portionField: 'burst' },
  { field: 'concurrency', portionField: 'permits' },
  { field: 'uploadBytesPerSecond', portionField: 'upload' }
] as const
