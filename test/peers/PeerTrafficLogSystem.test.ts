import { test } from 'node:test'
import { expect } from 'earl'
import { Registry } from 'prom-client'
import { ManualClock } from '../../src/common/ManualClock.js'
import { PeerTraffic } from '../../src/peers/PeerTraffic.js'
import { PeerTrafficLogSystem } from '../../src/peers/PeerTrafficLogSystem.js'
import { MemoryLogger } from '../support/MemoryLogger.js'

// Guards against links between hosts that are full without a trace in the logs, and against a line for each exchange.
test('failed exchanges and whole tables are logged once a second', () => {
  const traffic = new PeerTraffic(new Registry(), new ManualClock())
  const logger = new MemoryLogger()
  const system = new PeerTrafficLogSystem(traffic, logger)
  traffic.recordReply('beat', 3)
  system.run(0)
  expect(logger.lines).toEqual([])
  traffic.recordSent('beat', 500)
  traffic.recordPage('endpoints', 'whole', 7)
  traffic.recordFailure('beat', 'peerTimeout')
  traffic.recordFailure('beat', 'peerTimeout')
  system.run(500)
  expect(logger.lines).toEqual([])
  system.run(1_000)
  system.run(2_000)
  expect(logger.lines.map((line) => line.includes('sentBytes=500 sentRows=7 wholeTables=1 replies=0 longestMs=0 peerTimeout=2'))).toEqual([true])
})
