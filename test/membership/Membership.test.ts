import { test } from 'node:test'
import { expect } from 'earl'
import fc from 'fast-check'
import { sampleDigest } from '../control/sampleDigest.js'
import { NetworkModel } from './NetworkModel.js'

const hosts = ['a-1', 'a-2', 'b-1', 'c-1', 'd-1', 'e-1', 'f-1']

function createConverged (names: readonly string[] = hosts): NetworkModel {
  const net = new NetworkModel(names)
  const convergedMs = net.runUntil(() => names.every((host) => names.every((other) => net.findState(host, other) === 'alive')), 10_000)
  expect(convergedMs < 10_000).toEqual(true)
  return net
}

// Guards against a killed host that stays alive in other hosts' views, or is marked dead too early.
test('a killed host is suspect after 1.5 s and dead 3 s later everywhere', () => {
  const net = createConverged()
  net.paused.add('a-2')
  net.run(1_300)
  expect(hosts.filter((host) => net.findState(host, 'a-2') !== 'alive')).toEqual([])
  const others = hosts.filter((host) => host !== 'a-2')
  const suspectMs = 1_300 + net.runUntil(() => others.every((host) => net.findState(host, 'a-2') === 'suspect'), 3_000)
  const deadMs = suspectMs + net.runUntil(() => others.every((host) => net.findState(host, 'a-2') === 'dead'), 6_000)
  expect(suspectMs <= 2_500).toEqual(true)
  expect(deadMs >= 4_400 && deadMs <= 6_000).toEqual(true)
})

// Guards against an undetected loss of a whole zone, or of the host that relays for a zone.
test('a killed relay is replaced and all hosts of a killed zone become dead', () => {
  const names = ['a-1', 'a-2', 'a-3', 'b-1', 'b-2', 'b-3']
  const net = createConverged(names)
  net.paused.add('a-1')
  net.run(8_000)
  expect(['a-2', 'b-1', 'b-3'].map((host) => net.findState(host, 'a-1'))).toEqual(['dead', 'dead', 'dead'])
  expect(['b-1', 'b-3'].map((host) => net.findState(host, 'a-3'))).toEqual(['alive', 'alive'])
  net.paused.add('a-2').add('a-3')
  net.run(10_000)
  expect(['b-1', 'b-2', 'b-3'].flatMap((host) => ['a-2', 'a-3'].map((other) => net.findState(host, other)))).toEqual(Array(6).fill('dead'))
})

// Guards against a resumed or restarted host that stays dead in the views of other hosts.
test('a resumed host refutes its death, and a restarted host returns with a higher incarnation', () => {
  const net = createConverged()
  net.paused.add('c-1')
  net.run(7_000)
  expect(net.findState('a-1', 'c-1')).toEqual('dead')
  net.paused.delete('c-1')
  expect(net.runUntil(() => hosts.every((host) => net.findState(host, 'c-1') === 'alive'), 6_000) < 6_000).toEqual(true)
  const before = net.findMember('a-2', 'c-1')!.incarnation
  // The wall clock was set back, so the start time alone would be below the incarnation held by other hosts.
  net.start('c-1', before - 500)
  expect(net.runUntil(() => hosts.every((host) => net.findMember(host, 'c-1')!.incarnation > before), 6_000) < 6_000).toEqual(true)
})

// Guards against a resumed host that interprets the silence during its own pause as the failure of all other hosts.
test('a resumed host does not suspect others after its own pause', () => {
  const net = createConverged()
  net.paused.add('a-1')
  net.run(6_000)
  net.paused.delete('a-1')
  net.run(50)
  expect(hosts.map((host) => net.findState('a-1', host))).toEqual(hosts.map(() => 'alive'))
})

// Guards against one-way and partial partitions after which a live host is marked dead.
test('a link cut in one direction is reported as down while both hosts stay alive', () => {
  const net = createConverged()
  net.isDelivered = (from, to) => !(from === 'a-1' && to === 'd-1')
  net.run(8_000)
  expect([net.findState('a-1', 'd-1'), net.findState('d-1', 'a-1')]).toEqual(['alive', 'alive'])
  expect([net.findMember('a-1', 'd-1')!.linkDown, net.findMember('d-1', 'a-1')!.linkDown, net.findMember('a-1', 'e-1')!.linkDown]).toEqual([true, true, undefined])
  net.get('d-1').table.setReport({ digest: sampleDigest('d-1', { leaving: true }) })
  expect(net.runUntil(() => net.findMember('a-2', 'd-1')!.digest?.leaving === true, 3_000) < 3_000).toEqual(true)
  net.isDelivered = () => true
  net.run(3_000)
  expect(net.findMember('a-1', 'd-1')!.linkDown).toEqual(undefined)
})

// Guards against a partition whose sides do not reconnect after it heals.
test('both sides of a healed partition become alive to each other', () => {
  const net = createConverged()
  const left = new Set(['a-1', 'a-2', 'b-1'])
  net.isDelivered = (from, to) => left.has(from) === left.has(to)
  net.run(15_000)
  expect([net.findState('a-1', 'f-1'), net.findState('f-1', 'b-1'), net.findState('a-2', 'b-1')]).toEqual(['dead', 'dead', 'alive'])
  net.isDelivered = () => true
  expect(net.runUntil(() => hosts.every((host) => hosts.every((other) => net.findState(host, other) === 'alive')), 8_000) < 8_000).toEqual(true)
})

// Guards against ownership that moves away from a flapping host and back with each flap.
test('flap damping of a host doubles with each flap, up to 30 s', () => {
  const net = createConverged()
  const dampings: number[] = []
  for (let flap = 0; flap < 7; flap += 1) {
    net.paused.add('b-1')
    net.run(6_000)
    net.paused.delete('b-1')
    net.runUntil(() => net.findState('a-1', 'b-1') !== 'dead', 8_000)
    dampings.push(net.runUntil(() => net.findState('a-1', 'b-1') === 'alive', 40_000))
  }
  expect(dampings[0]).toEqual(0)
  expect(dampings.slice(1, 5).every((ms, i) => Math.abs(ms - 2_000 * 2 ** i) <= 200)).toEqual(true)
  expect(dampings.slice(5).every((ms) => Math.abs(ms - 30_000) <= 200)).toEqual(true)
})

// Guards against slow propagation in a large zone, and against traffic per host that grows with the number of hosts.
test('a change reaches 200 hosts within 1 s and idle hosts send few rows', (t) => {
  const names = ['a', 'b'].flatMap((zone) => Array.from({ length: 100 }, (_, i) => `${zone}-${String(i).padStart(3, '0')}`))
  const net = new NetworkModel(names)
  const convergedMs = net.runUntil(() => names.every((host) => net.get(host).table.size === names.length), 20_000)
  net.run(5_000)
  const start = { frames: net.frames, rows: net.rows }
  net.run(5_000)
  t.diagnostic(`converged in ${convergedMs} ms; idle: ${((net.frames - start.frames) / 200 / 5).toFixed(1)} frames/s and ${((net.rows - start.rows) / 200 / 5).toFixed(2)} rows/s per host`)
  expect((net.frames - start.frames) / 200 / 5 <= 20).toEqual(true)
  expect((net.rows - start.rows) / 200 / 5 <= 1).toEqual(true)
  net.get('b-050').table.setReport({ digest: sampleDigest('b-050', { leaving: true }) })
  net.flush('b-050')
  const propagationMs = net.runUntil(() => names.every((host) => net.findMember(host, 'b-050')?.digest?.leaving === true), 5_000)
  t.diagnostic(`change propagated in ${propagationMs} ms`)
  expect(propagationMs <= 1_000).toEqual(true)
  expect(names.every((host) => net.get(host).listPeers().length <= 8 + 4)).toEqual(true)
})

// Guards against any sequence of kills, restarts, pauses and partitions after which views never converge.
test('views converge after random faults', () => {
  const event = fc.record({ host: fc.constantFrom(...hosts), other: fc.constantFrom(...hosts), kind: fc.constantFrom('kill', 'restart', 'cut', 'cutOneWay', 'heal', 'digest'), afterMs: fc.integer({ min: 50, max: 4_000 }) })
  fc.assert(fc.property(fc.array(event, { minLength: 1, maxLength: 10 }), (events) => {
    const net = createConverged()
    const cuts = new Set<string>()
    let seq = 1
    net.isDelivered = (from, to) => !cuts.has(`${from}>${to}`)
    for (const { host, other, kind, afterMs } of events) {
      if (kind === 'kill') net.paused.add(host)
      if (kind === 'restart') net.start(host)
      if (kind === 'cut') cuts.add(`${host}>${other}`).add(`${other}>${host}`)
      if (kind === 'cutOneWay') cuts.add(`${host}>${other}`)
      if (kind === 'heal') cuts.clear()
      if (kind === 'digest') net.get(host).table.setReport({ digest: sampleDigest(host, { seq: seq += 1 }) })
      net.run(afterMs)
    }
    cuts.clear()
    net.paused.clear()
    // Flap damping lasts at most 30 s.
    net.run(45_000)
    for (const host of hosts) {
      for (const other of hosts) {
        expect({ host, other, state: net.findState(host, other) }).toEqual({ host, other, state: 'alive' })
        expect(net.findMember(host, other)!.digest?.seq).toEqual(net.findMember(other, other)!.digest?.seq)
        expect(net.findMember(host, other)!.incarnation).toEqual(net.findMember(other, other)!.incarnation)
        expect(net.findMember(host, other)!.linkDown).toEqual(undefined)
      }
    }
  }), { seed: 20_261_204, numRuns: 40 })
})

// Guards against confirming changes of a restarted process by the numbers of its predecessor, after which it would not send them again.
test('the changes of a restarted peer are counted anew', () => {
  const net = createConverged()
  const own = net.get('a-1')
  const exchange = net.get('c-1').buildExchange('a-1', net.nowMs)
  own.receive('c-1', { ...exchange, epoch: 1, from: 0, upTo: 500 }, net.nowMs, false)
  expect([own.buildExchange('c-1', net.nowMs).gotEpoch, own.buildExchange('c-1', net.nowMs).got]).toEqual([1, 500])
  own.receive('c-1', { ...exchange, epoch: 2, from: 0, upTo: 3 }, net.nowMs, false)
  expect([own.buildExchange('c-1', net.nowMs).gotEpoch, own.buildExchange('c-1', net.nowMs).got]).toEqual([2, 3])
})

// Guards against suspecting a host, right when it is watched for the first time, of the silence before.
test('a host that becomes a relay is not suspect', () => {
  const names = ['a-1', 'a-2', 'b-1', 'b-2']
  const net = createConverged(names)
  net.paused.add('b-1')
  expect(net.runUntil(() => net.findState('a-1', 'b-2') !== 'alive', 10_000)).toEqual(Infinity)
  net.paused.delete('b-1')
  net.run(3_000)
  net.paused.add('b-1')
  expect(net.runUntil(() => net.findState('a-1', 'b-2') !== 'alive', 10_000)).toEqual(Infinity)
})
