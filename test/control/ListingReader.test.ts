import { test } from 'node:test'
import { expect } from 'earl'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { createFailure } from '../../src/common/createFailure.js'
import type { Failure } from '../../src/common/Failure.js'
import { ManualClock } from '../../src/common/ManualClock.js'
import { ListingReader } from '../../src/control/ListingReader.js'
import type { Listing } from '../../src/membership/Listing.js'
import { HostList } from '../../src/platform/HostList.js'
import type { ListedHost } from '../../src/platform/ListedHost.js'

/** Fake list that returns a given result and counts its reads. */
class FakeHostList extends HostList {
  reads = 0
  answer: Result<readonly ListedHost[], Failure> = ok([])

  override async read (): Promise<Result<readonly ListedHost[], Failure>> {
    this.reads += 1
    return await Promise.resolve(this.answer)
  }
}

// Guards against upstreams that are listed as hosts, and against live upstreams that receive no more requests.
test('only leaving endpoints and hosts are listed, by kind and sorted by name', async () => {
  const hosts = new FakeHostList()
  hosts.answer = ok([
    { name: 'b', kind: 'upstream', state: 'leaving' },
    { name: 'a', kind: 'upstream', state: 'leaving' },
    { name: 'c', kind: 'upstream', state: 'live' },
    { name: 'h', kind: 'entry', state: 'leaving' }
  ])
  const found: Listing[] = []
  await new ListingReader({ hosts, clock: new ManualClock(), onListing: (listing) => found.push(listing) }).poll()
  expect(found).toEqual([{ endpoints: ['a', 'b'], hosts: ['h'] }])
})

// Guards against agents that read a failing platform every second, and against a failed read that clears the list.
test('reads of the list pause after a failure', async () => {
  const hosts = new FakeHostList()
  const clock = new ManualClock()
  const found: Listing[] = []
  const reader = new ListingReader({ hosts, clock, onListing: (listing) => found.push(listing) })
  hosts.answer = err(createFailure('platformUnavailable'))
  await reader.poll()
  await reader.poll()
  expect([hosts.reads, found.length]).toEqual([1, 0])
  clock.advance(5_000)
  await reader.poll()
  expect(hosts.reads).toEqual(2)
})
