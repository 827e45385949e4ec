import type { BrokenPromises } from '../../dev/proof/BrokenPromises.js'

/** The counts of a run in which every promise held. */
export const noBrokenPromises: BrokenPromises = {
  capExcess: 0,
  regionOverload: 0,
  cutRequests: 0,
  duplicateRuns: 0,
  falseNotRun: 0,
  mixedAnswers: 0,
  lateNewWork: 0
}
