/** Class of a request; determines link priority, body limits, shedding order and whether the request may be retried. */
export const WorkClass = {
  /** Short reads with a waiting user. */
  interactive: 'interactive',
  /** Orders, payments and bookings. */
  order: 'order',
  /** Uploads and other large transfers. */
  bulk: 'bulk'
} as const

export type WorkClass = typeof WorkClass[keyof typeof WorkClass]
