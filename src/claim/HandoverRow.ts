import type { z } from 'zod'
import type { claimMessages } from './claimMessages.js'

/** A home's record of one key, as it is sent in a handover. */
export type HandoverRow = z.infer<typeof claimMessages.handover>['rows'][number]
