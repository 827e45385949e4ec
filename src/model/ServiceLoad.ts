/** Load of the endpoints of one service that a host owns. */
export interface ServiceLoad {
  readonly service: string
  /** Slots that may be used now: ramp, drains and failures are taken off. */
  readonly slots: number
  /** Slots in use. */
  readonly used: number
  /** Requests waiting for a slot. */
  readonly queued: number
  /** Mean service time of recent requests in ms; 0 when there were none. */
  readonly serviceMs: number
}
