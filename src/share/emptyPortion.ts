import type { Portion } from './Portion.js'

/** The portion of a host to which no part of the cap is assigned. */
export const emptyPortion: Portion = { rate: 0, burst: 0, permits: 0, regionPermits: 0, upload: 0 }
