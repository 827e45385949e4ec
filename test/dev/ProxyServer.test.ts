import { createServer } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import { connect } from 'node:net'
import { after, before, test } from 'node:test'
import { expect } from 'earl'
import { callControl } from '../../dev/common/callControl.js'
import { sendRequest } from '../../dev/common/sendRequest.js'
import type { ProxyCounts } from '../../dev/proxy/ProxyCounts.js'
import { ProxyServer } from '../../dev/proxy/ProxyServer.js'

const address = '127.23.0.3'
const control = `${address}:8073`
let received = 0
const server = createServer((req, res) => {
  received += 1
  const size = Number(new URL(req.url ?? '/', 'http://x').searchParams.get('bytes') ?? 2)
  res.end(Buffer.alloc(size))
})
let proxy: ProxyServer

function createLink (port: number, delayMs: number, group?: string): ConstructorParameters<typeof ProxyServer>[0]['links'][number] {
  const target = `${address}:${(server.address() as AddressInfo).port}`
  const link = {
    listen: `${address}:${port}`,
    target,
    source: `s${port}`,
    sourceZone: 'a',
    sourceRegion: 'a',
    targetName: 't',
    targetKind: 'host' as const,
    targetZone: 'b',
    targetRegion: 'b',
    delayMs
  }
  return group === undefined ? link : { ...link, forwardGroup: `${group}>`, backwardGroup: `<${group}` }
}

async function timeRequest (port: number, path = '/'): Promise<number> {
  const startMs = performance.now()
  await sendRequest(`http://${address}:${port}${path}`, { timeoutMs: 5_000 })
  return performance.now() - startMs
}

async function setFaults (port: number, faults: Record<string, unknown>): Promise<void> {
  await callControl(control, 'fault', { selects: [{ source: `s${port}` }], faults })
}

before(async () => {
  await new Promise<void>((resolve) => server.listen(0, address, resolve))
  proxy = new ProxyServer({
    address,
    controlPort: 8073,
    links: [createLink(7_001, 0), createLink(7_002, 30), createLink(7_003, 0, 'g'), createLink(7_004, 0), createLink(7_005, 0), { ...createLink(7_006, 0), target: `${address}:1` }],
    groups: { 'g>': 1_000_000, '<g': 1_000_000 }
  })
  await proxy.start()
})
after(async () => {
  await proxy.close()
  server.closeAllConnections()
  server.close()
})

// Guards against links that are faster than the simulated network: 2 x 30 ms for the handshake and 2 x 30 ms for the exchange.
test('a link delays the handshake and both directions', async () => {
  const durationMs = await timeRequest(7_002)
  expect(durationMs).toBeGreaterThanOrEqual(118)
  expect(durationMs).toBeLessThan(250)
})

// Guards against a bandwidth limit that applies to each connection instead of the group.
test('connections share the bandwidth of their group', async () => {
  const startMs = performance.now()
  await Promise.all([1, 2].map(async () => await timeRequest(7_003, '/?bytes=200000')))
  const durationMs = performance.now() - startMs
  expect(durationMs).toBeGreaterThanOrEqual(390)
  expect(durationMs).toBeLessThan(800)
})

// Guards against a lost response whose request was not delivered.
test('a request whose response is lost is still delivered', async () => {
  await setFaults(7_001, { loseAnswers: 1 })
  const before = received
  await expect(timeRequest(7_001)).toBeRejected()
  expect(received).toEqual(before + 1)
  await timeRequest(7_001)
})

// Guards against a silent link that closes connections or loses data.
test('a silent link queues data until the silence ends', async () => {
  await setFaults(7_004, { silentForward: true })
  const request = timeRequest(7_004)
  await new Promise((resolve) => setTimeout(resolve, 150))
  await setFaults(7_004, { silentForward: false })
  expect(await request).toBeGreaterThanOrEqual(145)
})

// Guards against a cut that leaves existing connections open.
test('a cut resets existing and new connections', async () => {
  const socket: Socket = connect(7_005, address)
  const broken = new Promise((resolve) => socket.on('error', resolve))
  await new Promise((resolve) => socket.on('connect', resolve))
  await setFaults(7_005, { cut: true })
  await broken
  await expect(timeRequest(7_005)).toBeRejected()
  await setFaults(7_005, { cut: false })
  await timeRequest(7_005)
})

// Guards against a stopped target that still appears to accept connections.
test('a refused link closes its port', async () => {
  await setFaults(7_005, { refuse: true })
  await expect(timeRequest(7_005)).toBeRejectedWith(Error, /ECONNREFUSED/)
  await setFaults(7_005, { refuse: false })
  await timeRequest(7_005)
})

// Guards against a caller's reset that is put down to a host although the host's port was closed.
test('a proxy reports the connections that their target refused', async () => {
  const socket = connect(7_006, address)
  await new Promise((resolve) => socket.on('connect', resolve))
  const client = `${socket.localAddress!}:${socket.localPort!}`
  await new Promise((resolve) => socket.on('error', () => {}).on('close', resolve))
  const { refused } = await callControl<ProxyCounts>(control, 'counts')
  expect(refused.map((row) => row.client)).toEqual([client])
})

// Guards against a stall of the proxy that is put down to the hosts behind it.
test('a proxy reports when it stood still', async () => {
  const fromMs = Date.now()
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, 600)
  const untilMs = Date.now()
  await new Promise((resolve) => setTimeout(resolve, 100))
  const { stalls } = await callControl<ProxyCounts>(control, 'counts')
  expect(stalls.some(([stallFromMs, stallUntilMs]) => stallFromMs <= fromMs + 50 && stallUntilMs >= untilMs - 50)).toEqual(true)
})
