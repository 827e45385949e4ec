/** Whether a failed request was executed: `notRun` means certainly not, `unknown` means that it may have been. */
export const Outcome = {
  notRun: 'not-run',
  unknown: 'unknown'
} as const

export type Outcome = typeof Outcome[keyof typeof Outcome]
