import { expect } from 'earl'
import { spawn } from 'node:child_process'
import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { text } from 'node:stream/consumers'
import { test } from 'node:test'

const answerMs = 100

/** Program that makes one exchange and prints its result. */
const program = `
  import { Agent } from 'node:http'
  import { exchange } from ${JSON.stringify(new URL('../../dev/callers/exchange.js', import.meta.url).href)}
  const [port, timeoutMs] = process.argv.slice(1).map(Number)
  const result = await exchange({ address: '127.0.0.1:' + port, method: 'GET', path: '/', headers: {}, body: undefined, timeoutMs, agent: new Agent() })
  console.log(result.kind === 'answer' ? result.body.toString() : result.reason)
`

/** Returns the result of an exchange in another process, which is stopped for `stallMs` when its request has arrived. */
async function exchangeWith (timeoutMs: number, stallMs: number): Promise<string> {
  const server = createServer((_req, res) => {
    setTimeout(() => res.end('done'), answerMs)
    if (stallMs === 0) return
    child.kill('SIGSTOP')
    setTimeout(() => child.kill('SIGCONT'), stallMs)
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  const { port } = server.address() as AddressInfo
  const child = spawn(process.execPath, ['--input-type=module', '-e', program, String(port), String(timeoutMs)], { stdio: ['ignore', 'pipe', 'inherit'] })
  const output = await text(child.stdout)
  server.close()
  server.closeAllConnections()
  return output.trim()
}

// Guards against a stall of the callers' own process that is reported as requests without an answer.
test('an answer that arrived while the process stood still is no timeout', async () => {
  expect(await exchangeWith(400, 1_500)).toEqual('done')
})

// Guards against a caller that waits for good.
test('an answer that comes too late is a timeout', async () => {
  expect(await exchangeWith(answerMs / 2, 0)).toEqual('timeout')
})
