import { connect, createServer } from 'node:net'
import type { AddressInfo } from 'node:net'
import { test } from 'node:test'
import { expect } from 'earl'
import { Link } from '../../dev/proxy/Link.js'
import { waitUntil } from '../support/waitUntil.js'

const address = '127.23.0.9'
const port = 7_101
const rounds = 30

/** Connects through the link and returns how the connection ended after the target reset it directly after its last bytes. */
async function readEnd (): Promise<'ended' | 'reset'> {
  return await new Promise((resolve) => {
    const socket = connect(port, address)
    socket.resume()
    socket.on('error', () => resolve('reset'))
    // Node.js reports a reset that arrives together with data as an end, but then the socket has no remote address.
    socket.on('end', () => resolve(socket.remoteAddress === undefined ? 'reset' : 'ended'))
    socket.write('x')
  })
}

// Guards against a proxy that passes on a truncated response as a complete one, which would look like a broken promise of the host.
test('a reset directly after the last bytes is passed on as a reset', async () => {
  const server = createServer((socket) => {
    socket.on('error', () => {})
    socket.once('data', () => socket.write('do', () => socket.resetAndDestroy()))
  })
  await new Promise<void>((resolve) => server.listen(0, address, resolve))
  const place = { source: 's', sourceZone: '', sourceRegion: '', targetName: 't', targetKind: 'host', targetZone: '', targetRegion: '' } as const
  const link = new Link({ ...place, listen: `${address}:${port}`, target: `${address}:${(server.address() as AddressInfo).port}`, delayMs: 0, findsLateResets: true }, new Map())
  await link.open()
  try {
    const ends = new Set<string>()
    for (let round = 0; round < rounds; round++) ends.add(await readEnd())
    expect([...ends]).toEqual(['reset'])
  } finally {
    await link.close()
    server.close()
  }
})

// Guards against a fault that also affects new connections, or that ends when the link heals.
test('silenced connections stay silent and new ones work', async () => {
  const server = createServer((socket) => socket.on('error', () => {}).pipe(socket))
  await new Promise<void>((resolve) => server.listen(0, address, resolve))
  const place = { source: 's', sourceZone: '', sourceRegion: '', targetName: 't', targetKind: 'host', targetZone: '', targetRegion: '' } as const
  const link = new Link({ ...place, listen: `${address}:${port}`, target: `${address}:${(server.address() as AddressInfo).port}`, delayMs: 0 }, new Map())
  await link.open()
  const old = connect(port, address)
  let echo = ''
  old.on('error', () => {}).on('data', (chunk: Buffer) => { echo += chunk.toString() })
  try {
    old.write('a')
    await waitUntil(() => echo === 'a')
    await link.setFaults({ silencesOpen: true })
    await link.heal()
    old.write('b')
    const fresh = connect(port, address)
    let answer = ''
    fresh.on('data', (chunk: Buffer) => { answer += chunk.toString() }).write('c')
    await waitUntil(() => answer === 'c')
    fresh.destroy()
    expect(echo).toEqual('a')
  } finally {
    old.destroy()
    await link.close()
    server.close()
  }
})
