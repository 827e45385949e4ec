/** Kind of work; decides link priority, body limits, shedding order and whether it may be retried. */
export const WorkClass = {
  /** Short reads that people wait for. */
  interactive: 'interactive',
  /** Orders, payments and bookings. */
  order: 'order',
  /** Uploads and other large transfers. */
  bulk: 'bulk'
} as const

export type WorkClass = typeof WorkClass[keyof typeof WorkClass]
