import { spawn } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import type { Socket } from 'node:net'
import { join } from 'node:path'

/** Starts a guard process that kills the cluster's processes when this process exits, also after a crash or a kill signal. */
export class Guard {
  private readonly child: ChildProcess

  constructor () {
    this.child = spawn(process.execPath, [join(import.meta.dirname, '../runGuard.js')], { detached: true, stdio: ['pipe', 'ignore', 'ignore'] })
    this.child.unref();
    (this.child.stdin as Socket).unref()
  }

  add (pid: number): void {
    this.child.stdin?.write(`+${pid}\n`)
  }

  remove (pid: number): void {
    this.child.stdin?.write(`-${pid}\n`)
  }

  addFolder (path: string): void {
    this.child.stdin?.write(`folder ${path}\n`)
  }

  /** Ends the guard process, which kills the processes that are still registered. */
  async close (): Promise<void> {
    const ended = new Promise<void>((resolve) => this.child.once('exit', () => resolve()))
    this.child.ref()
    this.child.stdin?.end()
    await ended
  }
}
