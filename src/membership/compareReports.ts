import type { MemberReport } from './MemberReport.js'

/** Compares two reports by age; the result is positive when `a` is newer than `b`. */
export function compareReports (a: Pick<MemberReport, 'incarnation' | 'no'> | undefined, b: Pick<MemberReport, 'incarnation' | 'no'> | undefined): number {
  return (a?.incarnation ?? 0) - (b?.incarnation ?? 0) || (a?.no ?? 0) - (b?.no ?? 0)
}
