import { test } from 'node:test'
import { expect } from 'earl'
import fc from 'fast-check'
import { ManualClock } from '../../src/common/ManualClock.js'
import { ClaimService } from '../../src/claim/ClaimService.js'
import { ShareService } from '../../src/share/ShareService.js'
import type { Message } from '../../src/wire/Message.js'
import { createDoc } from '../model/createDoc.js'
import { createRandom } from '../model/createRandom.js'
import { SimulatedNetwork } from '../model/SimulatedNetwork.js'

const types = ['loan_request', 'loan_return', 'claim', 'claim_result', 'claim_copy', 'claim_read', 'claim_handover', 'other']
const number = fc.oneof({ weight: 12, arbitrary: fc.nat({ max: 50 }) }, fc.nat(), fc.integer(), fc.double(), fc.constant(Number.MAX_SAFE_INTEGER))
const value = fc.oneof(fc.anything({ withTypedArray: true, maxDepth: 3 }), number, fc.constantFrom('gyms', 'clubs', 'a1', 'running', 'done'))
const row = fc.record({ seq: number, rate: number, burst: number, short: number, long: number, upload: number })
const amount = fc.record({ rate: number, burst: number, short: number, long: number, upload: number })
const message = fc.record({
  t: fc.constantFrom(...types),
  customer: fc.oneof({ weight: 4, arbitrary: fc.constant('gyms') }, fc.string()),
  key: fc.string(),
  seq: number,
  settledSeq: number,
  held: fc.oneof({ weight: 4, arbitrary: fc.array(row, { maxLength: 3 }) }, value),
  ask: fc.oneof({ weight: 4, arbitrary: amount }, value),
  need: fc.oneof({ weight: 4, arbitrary: amount }, value),
  recall: value,
  rows: value,
  complete: value,
  to: number,
  fingerprint: fc.string(),
  claimId: fc.string(),
  outcome: fc.constantFrom('done', 'notRun', 'running', 'odd'),
  remainingMs: number,
  waitMs: number,
  state: value,
  answer: value,
  handoverFrom: number
}, { requiredKeys: ['t', 'customer', 'seq', 'settledSeq', 'held', 'ask', 'need'] })
const peer = { name: 'b1', role: 'entry', incarnation: 1 } as const

// Guards against messages of a faulty peer that crash the process or create rows for unknown customers.
test('arbitrary loan messages are answered', () => {
  const clock = new ManualClock()
  const net = new SimulatedNetwork(createRandom(1), () => 1)
  const types = new Set<string>()
  net.start({ name: 'a1', role: 'entry', incarnation: 1 }, (messenger) => {
    const service = new ShareService({ host: 'a1', incarnation: 1, clock, messenger })
    service.setConfig(createDoc())
    clock.advance(20_000)
    fc.assert(fc.property(message, fc.nat({ max: 500 }), (sent, ms) => {
      clock.advance(ms)
      types.add(service.handleMessage(sent as Message, peer)?.t ?? 'none')
      service.tick(clock.nowMs())
      expect(service.rowCount).toBeLessThanOrEqual(1)
    }), { seed: 3, numRuns: 3_000 })
    return service
  })
  expect([...types].sort()).toEqual(['loan_grant', 'loan_noted', 'refused'])
})

test('arbitrary claim messages are answered', async () => {
  const clock = new ManualClock()
  const net = new SimulatedNetwork(createRandom(1), () => 1)
  let service: ClaimService | undefined
  net.start({ name: 'a1', role: 'entry', incarnation: 1 }, (messenger) => {
    service = new ClaimService({ host: 'a1', incarnation: 1, clock, messenger })
    service.setConfig(createDoc())
    return service
  })
  await fc.assert(fc.asyncProperty(message, async (sent) => {
    const answer = await Promise.race([service!.handleMessage(sent as Message, peer), net.advance(3_000, () => clock.advance(100), 100)])
    expect(answer === undefined || typeof answer.t === 'string').toEqual(true)
    service!.tick(clock.nowMs())
  }), { seed: 4, numRuns: 1_000 })
  expect(service!.sizes.claims).toBeLessThanOrEqual(1_000)
})
