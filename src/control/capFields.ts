/** The parts of a contract that are divided among hosts. */
export const capFields = ['rate', 'burst', 'concurrency', 'uploadBytesPerSecond'] as const
