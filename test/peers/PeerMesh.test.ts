import { test } from 'node:test'
import { expect } from 'earl'
import { Catalog } from '../../src/catalog/Catalog.js'
import { DialMap } from '../../src/common/DialMap.js'
import { SystemClock } from '../../src/common/SystemClock.js'
import { PeerMesh } from '../../src/peers/PeerMesh.js'
import { PeerTable } from '../../src/peers/PeerTable.js'
import { createHeartbeat } from '../support/createHeartbeat.js'
import { createRejectedInput } from '../support/createRejectedInput.js'
import { MemoryLogger } from '../support/MemoryLogger.js'
import { waitUntil } from '../support/waitUntil.js'

// Guards against heartbeats to a host that end for good after one of them failed with an exception.
test('heartbeats go on after an exception', async () => {
  const { host, versions: _versions, pages: _pages, ...state } = createHeartbeat('a', 1)
  const peers = new PeerTable('a')
  peers.upsert({ ...host, name: 'b', peerAddress: '127.0.0.1:1' })
  let heartbeats = 0
  const logger = new MemoryLogger()
  const mesh = new PeerMesh({
    self: host,
    clusterKey: 'test',
    dial: new DialMap(),
    listSeeds: () => [],
    catalog: new Catalog(() => {}),
    peers,
    clock: new SystemClock(),
    logger,
    rejected: createRejectedInput(logger),
    isReader: () => true,
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
