import { rmSync } from 'node:fs'
import { createInterface } from 'node:readline'

/**
 * Ends a cluster's processes when its parent is gone. Reads one command per line from stdin: `+PID` and `-PID`
 * add and remove a process, `folder PATH` names a folder to remove. The end of stdin means that the parent ended.
 */
const pids = new Set<number>()
const folders = new Set<string>()

process.on('SIGINT', () => {})
process.on('SIGTERM', () => {})

createInterface({ input: process.stdin })
  .on('line', (line) => {
    if (line.startsWith('+')) pids.add(Number(line.slice(1)))
    else if (line.startsWith('-')) pids.delete(Number(line.slice(1)))
    else if (line.startsWith('folder ')) folders.add(line.slice('folder '.length))
  })
  .on('close', () => {
    for (const pid of pids) killProcess(pid)
    for (const folder of folders) rmSync(folder, { recursive: true, force: true })
    process.exit(0)
  })

function killProcess (pid: number): void {
  try {
    process.kill(pid, 'SIGKILL')
  } catch {
    // The process has ended already.
  }
}
