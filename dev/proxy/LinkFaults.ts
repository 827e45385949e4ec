/** Link faults that the control interface can set. */
export interface LinkFaults {
  /** Open connections are reset, and new ones as soon as they are accepted. */
  cut: boolean
  /** The port is closed, as when no process listens at the target. */
  refuse: boolean
  /** Data to the target is queued until this is cleared. */
  silentForward: boolean
  /** Data from the target is queued until this is cleared. */
  silentBackward: boolean
  /** Connections that are open when this is set pass on nothing more, without a reset; new ones work. */
  silencesOpen: boolean
  /** Number of connections to reset when the target's response arrives, after the target has received the request. */
  loseAnswers: number
  /** One-way delay in ms that is added to that of the plan. */
  extraDelayMs: number
}
