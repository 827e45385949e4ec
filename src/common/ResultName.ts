import type { resultCodes } from './resultCodes.js'

/** Name of a row in the result code table. */
export type ResultName = keyof typeof resultCodes
