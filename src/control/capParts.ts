/** The limits of a contract that are divided among hosts, with the part of a portion that each becomes. */
export const capParts = [
  { field: 'rate', part: 'rate' },
  { field: 'burst', part: 'burst' },
  { field: 'concurrency', part: 'permits' },
  { field: 'uploadBytesPerSecond', part: 'upload' }
] as const
