import { test } from 'node:test'
import { expect } from 'earl'
import { Registry } from 'prom-client'
import { Catalog } from '../../src/catalog/Catalog.js'
import { DialMap } from '../../src/common/DialMap.js'
import { parseDestination } from '../../src/common/parseDestination.js'
import { SystemClock } from '../../src/common/SystemClock.js'
import { PeerMesh } from '../../src/peers/PeerMesh.js'
import { PeerTable } from '../../src/peers/PeerTable.js'
import { PeerTraffic } from '../../src/peers/PeerTraffic.js'
import { FrameServer } from '../../src/wire/FrameServer.js'
import { createHeartbeat } from '../support/createHeartbeat.js'
import { createRejectedInput } from '../support/createRejectedInput.js'
import { findFreeAddresses } from '../support/findFreeAddresses.js'
import { MemoryLogger } from '../support/MemoryLogger.js'
import { waitUntil } from '../support/waitUntil.js'

type MeshOptions = ConstructorParameters<typeof PeerMesh>[0]

function createMesh (options: Pick<MeshOptions, 'self' | 'peers' | 'describeSelf'> & { logger: MemoryLogger }): PeerMesh {
  return new PeerMesh({
    clusterKey: 'test',
    dial: new DialMap(),
    listSeeds: () => [],
    catalog: new Catalog(() => {}),
    clock: new SystemClock(),
    rejected: createRejectedInput(options.logger),
    random: Math.random,
    traffic: new PeerTraffic(new Registry(), new SystemClock()),
    isReader: () => true,
    ...options
  })
}

// Guards against heartbeats to a host that end for good after one of them failed with an exception.
test('heartbeats go on after an exception', async () => {
  const { host, versions: _versions, pages: _pages, ...state } = createHeartbeat('a', 1)
  const peers = new PeerTable('a')
  peers.upsert({ ...host, name: 'b', peerAddress: '127.0.0.1:1' })
  let heartbeats = 0
  const logger = new MemoryLogger()
  const mesh = createMesh({
    self: host,
    peers,
    logger,
    describeSelf: () => {
      heartbeats += 1
      if (heartbeats === 1) throw new Error('planted')
      return state
    }
  })
  try {
    for (let round = 0; round < 3; round++) {
      mesh.announce()
      await new Promise((resolve) => setTimeout(resolve, 20))
    }
    await waitUntil(() => heartbeats > 1)
    expect(logger.lines.filter((line) => line.includes('heartbeat-failed')).length).toEqual(1)
  } finally {
    await mesh.stop()
  }
})

// Guards against hosts that have no peers, without a trace in the logs, because their keys differ.
test('a peer with another cluster key is logged', async () => {
  const address = (await findFreeAddresses(1))[0]!
  const { host: listenHost, port } = parseDestination(address)
  const server = new FrameServer({ self: { name: 'b', role: 'entry', incarnation: 1 }, clusterKey: 'other', onMessage: () => undefined })
  await server.listen(listenHost, port)
  const { host, versions: _versions, pages: _pages, ...state } = createHeartbeat('a', 1)
  const peers = new PeerTable('a')
  peers.upsert({ ...host, name: 'b', peerAddress: address })
  const logger = new MemoryLogger()
  const mesh = createMesh({ self: host, peers, logger, describeSelf: () => state })
  try {
    mesh.announce()
    await waitUntil(() => logger.lines.some((line) => line.includes('peer-connection-failed') && line.includes('code=frameAuth')))
  } finally {
    await mesh.stop()
    await server.close()
  }
})
