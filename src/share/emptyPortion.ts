import type { Portion } from './Portion.js'

/** The portion of a host that has no part of a cap. */
export const emptyPortion: Portion = { rate: 0, burst: 0, permits: 0, regionPermits: 0, upload: 0 }
