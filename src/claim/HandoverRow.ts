import type { z } from 'zod'
import type { claimMessages } from './claimMessages.js'

/** A row of a home's memory as it travels in a handover. */
export type HandoverRow = z.infer<typeof claimMessages.handover>['rows'][number]
