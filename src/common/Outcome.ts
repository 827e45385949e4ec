/** What a refusal says about the work: `notRun` is certain, `unknown` means that it may have run. */
export const Outcome = {
  notRun: 'not-run',
  unknown: 'unknown'
} as const

export type Outcome = typeof Outcome[keyof typeof Outcome]
