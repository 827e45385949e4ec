import { spawn } from 'node:child_process'

/** Exit code and output of a run of shuntctl. */
interface CtlRun {
  readonly code: number | null
  readonly stdout: string
  readonly stderr: string
}

/** Runs `shuntctl` in a child process, with the credential that the fake hosts accept. */
export async function runCtl (hosts: string, args: readonly string[], environment: NodeJS.ProcessEnv = {}): Promise<CtlRun> {
  const child = spawn(process.execPath, ['dist/src/bin/shuntctl.js', ...args], { env: { SHUNT_HOSTS: hosts, SHUNT_CREDENTIAL: 'secret', ...environment }, stdio: ['ignore', 'pipe', 'pipe'] })
  let stdout = ''
  let stderr = ''
  child.stdout.on('data', (chunk: Buffer) => { stdout += chunk.toString() })
  child.stderr.on('data', (chunk: Buffer) => { stderr += chunk.toString() })
  const code = await new Promise<number | null>((resolve) => child.on('close', resolve))
  return { code, stdout, stderr }
}
