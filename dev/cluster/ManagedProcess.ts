import { spawn } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { closeSync, openSync, readFileSync } from 'node:fs'
import type { Socket } from 'node:net'
import type { Guard } from './Guard.js'

/** Options for starting a process. */
interface ProcessOptions {
  readonly name: string
  /** Script and its arguments. */
  readonly args: readonly string[]
  /** File that receives stdout and stderr. */
  readonly logFile: string
  /** Keeps stdin open while this process lives; stand-ins end when it closes. */
  readonly holdStdin: boolean
  /** Environment variables of the process; inherited from this process when undefined. */
  readonly env?: NodeJS.ProcessEnv
  /** Options for Node.js, such as those for CPU profiles; they precede the script. */
  readonly nodeArgs?: readonly string[]
}

/** Child process of a cluster that can be restarted. */
export class ManagedProcess {
  private child: ChildProcess | undefined
  private exited: Promise<number | null> = Promise.resolve(null)

  constructor (private readonly options: ProcessOptions, private readonly guard: Guard) {}

  get name (): string {
    return this.options.name
  }

  get pid (): number | undefined {
    return this.child?.pid
  }

  get isRunning (): boolean {
    return this.child !== undefined && this.child.exitCode === null && this.child.signalCode === null
  }

  /** Describes how the process ended, for error messages. */
  describeExit (): string {
    const { exitCode = null, signalCode = null } = this.child ?? {}
    if (signalCode !== null) return `signal ${signalCode}`
    return exitCode === null ? 'no exit' : `exit code ${exitCode}`
  }

  start (): void {
    if (this.isRunning) throw new Error(`${this.name} is running already`)
    const log = openSync(this.options.logFile, 'a')
    const child = spawn(process.execPath, [...this.options.nodeArgs ?? [], ...this.options.args], {
      detached: true,
      ...(this.options.env === undefined ? {} : { env: this.options.env }),
      stdio: [this.options.holdStdin ? 'pipe' : 'ignore', log, log]
    })
    closeSync(log)
    this.child = child
    this.exited = new Promise((resolve) => child.once('exit', (code) => {
      if (child.pid !== undefined) this.guard.remove(child.pid)
      resolve(code)
    }))
    if (child.pid !== undefined) this.guard.add(child.pid)
    child.unref();
    (child.stdin as Socket | null)?.unref()
  }

  /** Waits until the process exits; the exit code is null after a signal. */
  async waitForExit (): Promise<number | null> {
    const keepAlive = setInterval(() => {}, 1_000)
    try {
      return await this.exited
    } finally {
      clearInterval(keepAlive)
    }
  }

  signal (signal: NodeJS.Signals): void {
    if (this.isRunning) this.child?.kill(signal)
  }

  /** Returns the last lines of the log, for error messages. */
  readLogTail (lines = 15): string {
    return readFileSync(this.options.logFile, 'utf8').trimEnd().split('\n').slice(-lines).join('\n')
  }
}
