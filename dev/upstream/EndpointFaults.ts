/** State and faults of an endpoint that the control interface can set. */
export interface EndpointFaults {
  state: 'ready' | 'cold' | 'draining'
  /** `stop` omits load reports and doesn't respond to probes, `freeze` repeats the last report, `lie` reports `lieUsed` slots as in use. */
  reports: 'true' | 'stop' | 'freeze' | 'lie'
  lieUsed: number
  /** After half of the response `die` resets the connection and `truncate` ends it; `reset` resets it without a response, `hang` never responds. */
  answers: 'normal' | 'die' | 'truncate' | 'hang' | 'reset'
  /** Number of responses that the `answers` fault still affects. */
  answerCount: number
  /** Extra delay in ms between the end of the service time and the response. */
  lateMs: number
  /** Factor that is applied to all service times. */
  serviceScale: number
  /** The port and its connections are closed. */
  refuse: boolean
}
