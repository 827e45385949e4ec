import { test } from 'node:test'
import { expect } from 'earl'
import { ManualClock } from '../../src/common/ManualClock.js'
import { LookupService } from '../../src/lookup/LookupService.js'
import { NearestRanking } from '../../src/lookup/NearestRanking.js'
import type { ConfigDoc } from '../../src/model/ConfigDoc.js'
import type { View } from '../../src/model/View.js'
import { createDoc } from './createDoc.js'
import { createView } from './createView.js'

const sites: Record<string, string> = { '10.0.0.1': 'south', '10.0.0.2': 'tobago-b', '10.0.0.3': 'nowhere' }

function createService (doc: ConfigDoc, view: View): LookupService {
  const service = new LookupService({ clock: new ManualClock(1_000_000), ranking: new NearestRanking(), zone: 'north-b', tls: false, findSite: (client) => sites[client] })
  service.applyConfig(doc)
  service.applyView(view)
  return service
}

function lookUpHosts (doc: ConfigDoc, view: View, customer: string, client: string, service?: string): string[] {
  const contract = doc.contracts.find((candidate) => candidate.customer === customer)!
  return createService(doc, view).lookUp(contract, { client, service })._unsafeUnwrap().entries.map(({ host }) => host)
}

const doc = createDoc()
const view = createView(doc)

// Guards against clients that are sent to another region while hosts of their own region serve.
test('hosts of the client\'s zone and region come first', () => {
  expect(lookUpHosts(doc, view, 'san-fernando-gyms', '10.0.0.1').slice(0, 2).toSorted()).toEqual(['south-a-1', 'south-b-1'])
  expect(lookUpHosts(doc, view, 'san-fernando-gyms', '10.0.0.2').slice(0, 2)).toEqual(['tobago-b-1', 'tobago-a-1'])
  for (const unknown of ['10.0.0.3', '10.9.9.9']) expect(lookUpHosts(doc, view, 'san-fernando-gyms', unknown)[0]).toEqual('north-b-1')
})

// Guards against a small cap that is spread over many hosts, and against responses with a single host.
test('a small cap gets few hosts in two zones', () => {
  const sizes = doc.contracts.map((contract) => [contract.concurrency, lookUpHosts(doc, view, contract.customer, '10.0.0.1').length])
  expect(sizes).toEqual([[40, 5], [16, 2], [32, 4], [12, 2], [12, 2], [14, 2]])
  const north = createDoc({ contracts: [{ ...doc.contracts[0]!, concurrency: 4 }] })
  const named = lookUpHosts(north, createView(north, { 'north-b-1': { state: 'dead' } }), 'san-fernando-gyms', '10.0.0.9')
  expect(new Set(named.map((host) => host.slice(0, -2))).size).toEqual(2)
})

// Guards against responses that list the same one of two equally near hosts first for all callers of a customer.
test('callers are spread over equally near hosts', () => {
  const first = Array.from({ length: 200 }, (_, index) => {
    sites[`10.1.0.${index}`] = 'south'
    return lookUpHosts(doc, view, 'san-fernando-gyms', `10.1.0.${index}`)[0]
  })
  const share = first.filter((host) => host === 'south-a-1').length
  expect(share > 70 && share < 130).toEqual(true)
  expect(first.every((host) => host === 'south-a-1' || host === 'south-b-1')).toEqual(true)
})

// Guards against callers that are sent to hosts that are dead, drained, leaving or not serving.
test('unavailable hosts are not listed', () => {
  const changed = createDoc({ drains: [{ kind: 'host', name: 'north-a-1', by: 'anna', atMs: 0 }, { kind: 'zone', name: 'tobago-a', by: 'anna', atMs: 0 }] })
  const partial = createView(changed, { 'north-b-1': { state: 'dead' }, 'south-a-1': { digest: { leaving: true } }, 'south-b-1': { digest: { serving: false } } })
  const entries = lookUpHosts(changed, { ...partial, leavingHosts: ['north-a-2'] }, 'san-fernando-gyms', '10.0.0.1')
  expect(entries).toEqual(['tobago-b-1'])
  const none = createView(doc, Object.fromEntries(doc.hosts.map(({ name }) => [name, { state: 'dead' as const }])))
  expect(createService(doc, none).lookUp(doc.contracts[0]!, { client: '10.0.0.1' })._unsafeUnwrapErr().name).toEqual('noCapacity')
})

// Guards against a suspect host that is preferred over a live one, or omitted when there are only suspect hosts.
test('suspect hosts come last', () => {
  const suspect = createView(doc, { 'south-a-1': { state: 'suspect' } })
  expect(lookUpHosts(doc, suspect, 'san-fernando-gyms', '10.0.0.1')[0]).toEqual('south-b-1')
  const all = createView(doc, Object.fromEntries(doc.hosts.map(({ name }) => [name, { state: 'suspect' as const }])))
  expect(lookUpHosts(doc, all, 'sports-clubs', '10.0.0.1')).toHaveLength(2)
})

// Guards against requests that cross regions although another region has both entry hosts and endpoints of the service.
test('regions without endpoints of the service come last', () => {
  const changed = createDoc({ endpoints: doc.endpoints.filter(({ service, zone }) => service !== 'order-ledger' || zone.startsWith('north')) })
  expect(lookUpHosts(changed, view, 'san-fernando-gyms', '10.0.0.2', 'order-ledger')[0] ?? '').toMatchRegex(/^north/)
  expect(lookUpHosts(changed, view, 'san-fernando-gyms', '10.0.0.2', 'stock-listing')[0]).toEqual('tobago-b-1')
})

// Guards against wrong prefixes, which would bind idempotency keys to a process that does not exist.
test('entries contain url and key prefix', () => {
  const answer = createService(doc, view).lookUp(doc.contracts[0]!, { client: '10.0.0.2' })._unsafeUnwrap()
  expect(answer.entries[0]!).toEqual({ host: 'tobago-b-1', zone: 'tobago-b', region: 'tobago', url: 'http://127.1.3.21:8080', keyPrefix: 'tobago-b-1.1006.' })
})

// Guards against clients that keep an outdated response while hosts join and leave.
test('the ttl is short during changes', () => {
  const ttl = (changed: ConfigDoc, seen: View): number => createService(changed, seen).lookUp(changed.contracts[0]!, { client: '10.0.0.1' })._unsafeUnwrap().ttlMs
  expect(ttl(doc, view)).toEqual(2_000)
  expect(ttl(doc, createView(doc, { 'south-a-1': { state: 'dead' } }))).toEqual(2_000)
  expect(ttl(doc, createView(doc, { 'south-a-1': { state: 'suspect' } }))).toEqual(500)
  expect(ttl(doc, createView(doc, { 'south-a-1': { digest: { leaving: true } } }))).toEqual(500)
  expect(ttl(doc, createView(doc, { 'south-a-1': { digest: { leaving: true, serving: false, inFlight: 1 } } }))).toEqual(500)
  expect(ttl(doc, createView(doc, { 'south-a-1': { digest: { leaving: true, serving: false, appliedVersion: 0 } } }))).toEqual(2_000)
  expect(ttl(doc, createView(doc, { 'south-a-1': { digest: { appliedVersion: 0 } } }))).toEqual(500)
  expect(ttl(createDoc({ drains: [{ kind: 'upstream', name: 'stock-north-a-1', by: 'anna', atMs: 990_000 }] }), view)).toEqual(500)
})

// Guards against cached home hosts that remain in use after a change of the hosts or the cap.
test('home hosts follow the configuration', () => {
  const service = createService(doc, view)
  const lookUpChanged = (changed: ConfigDoc): string[] => {
    service.applyConfig(changed)
    service.applyView(createView(changed))
    return service.lookUp(changed.contracts[0]!, { client: '10.0.0.1' })._unsafeUnwrap().entries.map(({ host }) => host)
  }
  const before = lookUpChanged(doc)
  expect(lookUpChanged(createDoc({ version: 2 }))).toEqual(before)
  expect(lookUpChanged(createDoc({ hosts: doc.hosts.filter((host) => host.name !== before[0]) }))).not.toEqual(before)
  expect(lookUpChanged(createDoc({ contracts: [{ ...doc.contracts[0]!, concurrency: 1 }] }))).toHaveLength(1)
})

// Guards against responses for services outside the contract, and against responses before the first configuration.
test('refusals contain their reason', () => {
  const contract = doc.contracts[5]!
  const service = createService(doc, view)
  expect(service.lookUp(contract, { client: '10.0.0.1', service: 'order-ledger' })._unsafeUnwrapErr().name).toEqual('serviceNotInContract')
  expect(service.lookUp(contract, { client: '10.0.0.1', service: 'none' })._unsafeUnwrapErr().name).toEqual('unknownService')
  const empty = new LookupService({ clock: new ManualClock(), ranking: new NearestRanking(), zone: 'north-b', tls: false, findSite: () => undefined })
  expect(empty.lookUp(contract, { client: '10.0.0.1' })._unsafeUnwrapErr().name).toEqual('notReady')
})

// Guards against a final refusal for a service that a newer configuration adds to a contract (issue 44).
test('nothing is refused for good while another host has a newer configuration', () => {
  const contract = doc.contracts[5]!
  const service = createService(doc, createView(doc, { 'south-a-1': { configVersion: doc.version + 1 } }))
  expect(service.lookUp(contract, { client: '10.0.0.1', service: 'none' })._unsafeUnwrapErr().name).toEqual('configUnconfirmed')
  service.applyConfig(createDoc({ version: doc.version + 1 }))
  expect(service.lookUp(contract, { client: '10.0.0.1', service: 'none' })._unsafeUnwrapErr().name).toEqual('unknownService')
})
