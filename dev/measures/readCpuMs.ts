import { readFileSync } from 'node:fs'

/** Unit of processor times in /proc, in clock ticks per second; always 100 on Linux. */
const ticksPerSecond = 100
const userField = 11
const systemField = 12

/** Reads the processor time in ms that a process has used so far. */
export function readCpuMs (pid: number): number {
  const text = readFileSync(`/proc/${pid}/stat`, 'utf8')
  // The process name may contain spaces, so the fields are counted from the closing parenthesis.
  const fields = text.slice(text.lastIndexOf(')') + 2).split(' ')
  return (Number(fields[userField]) + Number(fields[systemField])) * 1_000 / ticksPerSecond
}
