import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { test } from 'node:test'
import { expect } from 'earl'
import { Guard } from '../../dev/cluster/Guard.js'
import { ManagedProcess } from '../../dev/cluster/ManagedProcess.js'

// Guards against a report of an unexpected exit that doesn't tell a crash from a kill.
test('the end of a process is described by its exit code or signal', async (t) => {
  const folder = mkdtempSync(join(tmpdir(), 'shunt-process-'))
  const guard = new Guard()
  t.after(async () => {
    await guard.close()
    rmSync(folder, { recursive: true })
  })
  const scripts = ['process.exit(3)', 'process.kill(process.pid, "SIGKILL")', 'setInterval(() => {}, 1000)']
  const processes = scripts.map((script, index) => new ManagedProcess({
    name: `p-${index}`, args: ['-e', script], logFile: join(folder, `${index}.log`), holdStdin: false
  }, guard))
  for (const managed of processes) managed.start()
  await Promise.all(processes.slice(0, 2).map(async (managed) => await managed.waitForExit()))
  expect(processes.map((managed) => managed.describeExit())).toEqual(['exit code 3', 'signal SIGKILL', 'no exit'])
})
