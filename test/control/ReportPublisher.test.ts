import { test } from 'node:test'
import { expect } from 'earl'
import { ManualClock } from '../../src/common/ManualClock.js'
import { ReportPublisher } from '../../src/control/ReportPublisher.js'
import { membershipTimes } from '../../src/membership/membershipTimes.js'
import { MemberTable } from '../../src/membership/MemberTable.js'
import { sampleDigest } from './sampleDigest.js'

/** A publisher with the changes that it reported. */
class ReportHarness {
  readonly clock = new ManualClock()
  readonly members = new MemberTable({ host: 'h', zone: 'north-a', incarnation: 1 })
  readonly changes: boolean[] = []
  readonly report = new ReportPublisher({ members: this.members, clock: this.clock, onChange: (urgent) => this.changes.push(urgent) })
}

// Guards against hosts of a large deployment that receive too many load updates.
test('digests that differ only in load are rate limited, urgent ones are not', () => {
  const { report, clock, changes, members } = new ReportHarness()
  report.setDigest(sampleDigest('h', { seq: 1 }))
  report.setDigest(sampleDigest('h', { seq: 2, inFlight: 7 }))
  expect([changes.length, members.self.report?.digest?.inFlight, report.digest?.inFlight]).toEqual([1, 0, 7])
  report.setDigest(sampleDigest('h', { seq: 3, inFlight: 8, leaving: true }))
  expect([changes.length, members.self.report?.digest?.leaving]).toEqual([2, true])
  report.setDigest(sampleDigest('h', { seq: 4, inFlight: 9, leaving: true }))
  clock.advance(membershipTimes.gossipIntervalMs)
  report.publishPending()
  expect(members.self.report?.digest?.inFlight).toEqual(9)
})

// Guards against a list of leaving upstreams that stays in force after this host has stopped reading it.
test('a listing is published once and withdrawn', () => {
  const { report, changes, members } = new ReportHarness()
  const listing = { endpoints: ['a'], hosts: [] }
  report.setListing(listing)
  report.setListing({ ...listing })
  expect([changes.length, members.self.report?.listing]).toEqual([1, listing])
  report.setListing(undefined)
  expect([changes.length, members.self.report?.listing]).toEqual([2, undefined])
})
