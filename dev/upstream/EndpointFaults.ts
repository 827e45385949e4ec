/** Behaviour of an endpoint that the control interface can change. */
export interface EndpointFaults {
  state: 'ready' | 'cold' | 'draining'
  /** `stop` leaves reports out and fails probes, `freeze` repeats the last one, `lie` says that `lieUsed` slots are used. */
  reports: 'true' | 'stop' | 'freeze' | 'lie'
  lieUsed: number
  /** `die` resets the connection in mid-answer, `truncate` ends it early, `hang` never answers, `reset` breaks it after the work. */
  answers: 'normal' | 'die' | 'truncate' | 'hang' | 'reset'
  /** Number of answers that the `answers` fault still affects. */
  answerCount: number
  /** Extra delay in ms between the end of the work and the answer. */
  lateMs: number
  /** Factor on all service times. */
  serviceScale: number
  /** The port is closed and its connections are broken. */
  refuse: boolean
}
