import { test } from 'node:test'
import { expect } from 'earl'
import fc from 'fast-check'
import type { PriorCap } from '../../src/model/PriorCap.js'
import { computePortions } from '../../src/share/computePortions.js'
import { computeUsablePortion } from '../../src/share/computeUsablePortion.js'
import { createContract, createDoc, createHost, hostNames } from '../model/createDoc.js'

const resources = ['rate', 'burst', 'permits', 'upload'] as const
const caps = fc.record({
  rate: fc.nat({ max: 500 }),
  burst: fc.integer({ min: 1, max: 100 }),
  concurrency: fc.nat({ max: 100 }),
  uploadBytesPerSecond: fc.nat({ max: 1e9 })
})

// Guards against rounding that makes the sum of the portions differ from the cap.
test('portions add up to the cap', () => {
  fc.assert(fc.property(caps, fc.integer({ min: 1, max: 40 }), (cap, count) => {
    const hosts = Array.from({ length: count }, (_, index) => createHost(`${'abcdef'.charAt(index % 6)}${index}`))
    const portions = [...computePortions(createDoc({ hosts }), createContract(cap)).values()]
    expect(portions.length).toEqual(Math.min(16, count))
    const sums = resources.map((resource) => Math.round(portions.reduce((sum, portion) => sum + portion[resource], 0) * 1_000) / 1_000)
    expect(sums).toEqual([cap.rate, cap.burst, cap.concurrency, cap.uploadBytesPerSecond])
  }), { seed: 5, numRuns: 500 })
})

// Guards against a choice of home hosts that leaves a zone without a portion.
test('home hosts cover the zones first', () => {
  const hosts = Array.from({ length: 60 }, (_, index) => createHost(`${'abcdef'.charAt(index % 6)}${index}`))
  const homes = [...computePortions(createDoc({ hosts }), createContract()).keys()]
  const perZone = [...'abcdef'].map((zone) => homes.filter((home) => home.startsWith(zone)).length)
  expect([Math.min(...perZone), Math.max(...perZone)]).toEqual([2, 3])
})

// Guards against exceeding the new cap while some hosts still run the old version, also when the set of hosts changes.
test('confirmed hosts use only what unconfirmed hosts leave', () => {
  const prior = fc.record({ cap: caps, hosts: fc.subarray([...hostNames, 'gone'], { minLength: 1 }) })
  fc.assert(fc.property(
    caps, prior, fc.subarray([...hostNames, 'gone']), fc.array(fc.subarray([...hostNames]), { minLength: 7, maxLength: 7 }),
    (cap, old, confirmed, reported) => {
      const contract = createContract(cap)
      const priorCap: PriorCap = { customer: 'gyms', untilVersion: 2, ...old.cap, hosts: old.hosts }
      const doc = createDoc({ version: 2, contracts: [contract], priorCaps: [priorCap] })
      // Reports may be late: each host has received version 2 from only some of the hosts that run it, and never from others.
      const used = hostNames.filter((host) => confirmed.includes(host)).map((host, index) => {
        const known = (reported[index] ?? []).filter((name) => confirmed.includes(name))
        return computeUsablePortion({ doc, contract, host, appliedVersions: new Map(known.map((name) => [name, 2])) })
      })
      const before = createDoc({ hosts: old.hosts.map((name) => createHost(name)) })
      const oldPortions = [...computePortions(before, createContract(old.cap))].filter(([host]) => !confirmed.includes(host))
      for (const resource of resources) {
        const newCap = { rate: cap.rate, burst: cap.burst, permits: cap.concurrency, upload: cap.uploadBytesPerSecond }[resource]
        const left = Math.max(0, newCap - oldPortions.reduce((sum, [, portion]) => sum + portion[resource], 0))
        expect(used.reduce((sum, portion) => sum + portion[resource], 0)).toBeLessThanOrEqual(left + 1e-6)
      }
    }), { seed: 6, numRuns: 2_000 })
})
