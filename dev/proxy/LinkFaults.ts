/** Faults of a link that the control interface can set. */
export interface LinkFaults {
  /** Connections are reset, and new ones as soon as they are made. */
  cut: boolean
  /** The port is closed, as when nothing listens at the target. */
  refuse: boolean
  /** Data to the target is held back until the silence ends. */
  silentForward: boolean
  /** Data from the target is held back until the silence ends. */
  silentBackward: boolean
  /** Number of connections to break when the target's answer arrives, after the target got its data. */
  loseAnswers: number
  /** Delay in ms on top of the link's own, each way. */
  extraDelayMs: number
}
