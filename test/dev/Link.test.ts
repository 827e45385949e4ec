import { connect, createServer } from 'node:net'
import type { AddressInfo } from 'node:net'
import { test } from 'node:test'
import { expect } from 'earl'
import { Link } from '../../dev/proxy/Link.js'

const address = '127.23.0.9'
const port = 7_101
const rounds = 30

/** How a connection ended that the target reset right behind its last bytes. */
async function readEnd (): Promise<'ended' | 'reset'> {
  return await new Promise((resolve) => {
    const socket = connect(port, address)
    socket.resume()
    socket.on('error', () => resolve('reset'))
    // Node.js reports a reset that arrives together with bytes as an end, but then there is no peer any more.
    socket.on('end', () => resolve(socket.remoteAddress === undefined ? 'reset' : 'ended'))
    socket.write('x')
  })
}

// Guards against a proxy that turns a broken answer into a whole one, so that a promise looks broken by the host.
test('a reset right behind the last bytes stays a reset', async () => {
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
