/** Rounds an age in ms for heartbeats and log lines; -1 stands for an infinite one. */
export function toReportedAge (ageMs: number): number {
  return ageMs === Infinity ? -1 : Math.round(ageMs)
}
