/** Load of one service's endpoints that are owned by a host. */
export interface ServiceLoad {
  readonly service: string
  /** Slots that may be used now, after deductions for slow start, drains and failures. */
  readonly slots: number
  /** Slots in use. */
  readonly used: number
  /** Requests waiting for a slot. */
  readonly queued: number
  /** Mean service time of recent requests in ms; 0 when there are none. */
  readonly serviceMs: number
}
