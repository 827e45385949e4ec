import { readFileSync } from 'node:fs'

/** Clock ticks per second of /proc; fixed at 100 on Linux. */
const ticksPerSecond = 100
const userField = 11
const systemField = 12

/** Processor time in ms that a process has used. */
export function readCpuMs (pid: number): number {
  const text = readFileSync(`/proc/${pid}/stat`, 'utf8')
  // The process name may contain spaces, so fields are counted after it.
  const fields = text.slice(text.lastIndexOf(')') + 2).split(' ')
  return (Number(fields[userField]) + Number(fields[systemField])) * 1_000 / ticksPerSecond
}
