import { readdirSync, readFileSync } from 'node:fs'
import { test } from 'node:test'
import { expect } from 'earl'
import fc from 'fast-check'
import { formatProblem } from '../../src/config/formatProblem.js'
import { loadSettings } from '../../src/config/loadSettings.js'
import { parseContracts } from '../../src/config/parseContracts.js'
import { parseDeployment } from '../../src/config/parseDeployment.js'
import { parseSettings } from '../../src/config/parseSettings.js'
import { validateContract } from '../../src/config/validateContract.js'
import { validateDeployment } from '../../src/config/validateDeployment.js'

const deploymentText = readFileSync('examples/caroni/deployment.jsonc', 'utf8')
const contractsText = readFileSync('examples/caroni/contracts.jsonc', 'utf8')
const settingsText = readFileSync('examples/caroni/hosts/north-a-1.jsonc', 'utf8')
const parsers = { parseDeployment, parseContracts, parseSettings }

function listMessages (result: ReturnType<typeof parseDeployment> | ReturnType<typeof parseContracts> | ReturnType<typeof parseSettings>): string[] {
  return result.isErr() ? result.error.map(formatProblem) : []
}

// Guards against examples that the schemas no longer accept, and against defaults that are not filled in.
test('examples are accepted with defaults', () => {
  for (const site of ['caroni', 'kimberley']) {
    const deployment = parseDeployment(readFileSync(`examples/${site}/deployment.jsonc`, 'utf8'), 'd')._unsafeUnwrap()
    expect(deployment.hosts[0]!.ports.caller).toEqual(8080)
    expect(parseContracts(readFileSync(`examples/${site}/contracts.jsonc`, 'utf8'), 'c')._unsafeUnwrap()[0]!.version).toEqual(0)
    for (const name of readdirSync(`examples/${site}/hosts`)) {
      const settings = loadSettings(`examples/${site}/hosts/${name}`)._unsafeUnwrap()
      expect([settings.stopTimeoutMs, settings.dial, settings.tls]).toEqual([930_000, {}, undefined])
    }
  }
})

// Guards against reports that stop at the first problem or give a wrong position.
test('all problems are reported with their position', () => {
  const text = deploymentText
    .replace('"zone": "north-a", "address": "127.1.1.11"', '"zone": "north-q", "adress": "127.1.1.11"')
    .replace('"slots": 5', '"slots": 0')
    .replace('["north", "south"]', '["north", "west"]')
  expect(listMessages(parseDeployment(text, 'd.jsonc'))).toEqual([
    'd.jsonc:15:5: hosts[0].address: is missing',
    'd.jsonc:15:47: hosts[0].adress: the key is not known; did you mean "address"?',
    'd.jsonc:37:112: endpoints[0].slots: Too small: expected number to be >=1',
    'd.jsonc:15:28: hosts[0].zone: zone "north-q" does not exist; did you mean "north-a"?',
    'd.jsonc:84:28: links[0].regions[1]: region "west" does not exist'
  ])
})

// Guards against accepting documents that match the schema but are inconsistent.
test('an inconsistent deployment is rejected', () => {
  const cases: [string, string, string][] = [
    ['"north-a-2"', '"north-a-1"', 'host "north-a-1" is already used at hosts[0].name'],
    ['"127.1.1.12"', '"127.1.1.11"', 'host address "127.1.1.11:8080" is already used at hosts[0].address'],
    ['"path": "orders"', '"path": "stock"', 'path "stock" is already used at services[0].path'],
    ['"path": "stock"', '"path": "v1"', 'path "v1" is reserved for the system'],
    ['["GET", "HEAD"]', '[]', 'route "any method /" is already used at services[1].routes[0]'],
    ['127.1.1.202:9001', '127.1.1.201:9001', 'endpoint address "127.1.1.201:9001" is already used at endpoints[0].address'],
    ['"maxConnections": 400', '"maxConnections": 3', 'must be at least the number of slots (5)'],
    ['"service": "order-ledger"', '"service": "order-leger"', 'service "order-leger" does not exist; did you mean "order-ledger"?'],
    ['["south", "tobago"]', '["south", "north"]', 'link "north - south" is already used at links[0].regions'],
    ['["south", "tobago"]', '["south", "south"]', 'a link must join two different regions'],
    ['"latency": 0.8, "headroom": 0.2', '"latency": 0, "headroom": 0', 'latency and headroom must not both be 0'],
    ['"lineage": "caroni-1",', '"lineage": "a", "lineage": "b",', 'the key is duplicated']
  ]
  for (const [from, to, message] of cases) {
    const problems = listMessages(parseDeployment(deploymentText.replace(from, to), 'd'))
    expect(problems.map((problem) => problem.endsWith(message))).toEqual([true])
  }
})

// Guards against accepting limits that can't be enforced.
test('contract limits are checked', () => {
  const [contract] = parseContracts(contractsText, 'c')._unsafeUnwrap()
  const faults = [{ concurrency: 0 }, { concurrency: 1.5 }, { regionShare: 0 }, { regionShare: 1.01 }, { rate: -1 }, { rate: NaN },
    { moveStep: 0 }, { priority: 0 }, { services: [] }, { services: ['a', 'a'] }, { credentialHashes: [] }, { customer: 'a.b' }, { customer: '__proto__' }]
  for (const fault of faults) expect(validateContract({ ...contract, ...fault }).isErr()).toEqual(true)
  expect(validateContract({ ...contract, regionShare: 1 }).isOk()).toEqual(true)
})

// Guards against accepting two contracts with the same customer or credential in one file.
test('contracts in a file must not share a customer or credential', () => {
  const list = parseContracts(contractsText, 'c')._unsafeUnwrap()
  const twice = parseContracts(JSON.stringify([list[0], list[0]]), 'c')
  expect(listMessages(twice)).toHaveLength(2)
  expect(parseContracts(JSON.stringify(list[0]), 'c').isOk()).toEqual(true)
})

// Guards against invalid settings that would make a daemon fail only after its start.
test('invalid settings are rejected', () => {
  const faults = [{ clusterKey: 'short' }, { ports: { caller: 8081 } }, { seeds: ['10.0.0.1'] }, { dial: { x: '10.0.0.1:1' } }, { log: { default: 'loud' } },
    { tls: { certFile: 'a' } }, { address: 'localhost' }, { platform: { url: 'ftp://x' } }, { stopTimeoutMs: 0 }]
  const valid = JSON.parse(settingsText.replace(/^\s*\/\/.*$/gm, '')) as object
  expect(parseSettings(JSON.stringify(valid), 's').isOk()).toEqual(true)
  for (const fault of faults) expect(parseSettings(JSON.stringify({ ...valid, ...fault }), 's').isErr()).toEqual(true)
  expect(listMessages(loadSettings('no-such-file'))).toEqual(['no-such-file: the file cannot be read (ENOENT)'])
})

// Guards against crashes and against rejections without a problem, deep nesting included.
test('arbitrary text is rejected with problems', () => {
  const damaged = fc.tuple(fc.constantFrom(deploymentText, contractsText, settingsText), fc.nat(20_000), fc.nat(20), fc.string())
    .map(([text, at, length, insert]) => text.slice(0, at % text.length) + insert + text.slice((at % text.length) + length))
  const deep = fc.constantFrom('[', '{"a":', '{"zones":[').map((part) => part.repeat(50_000))
  fc.assert(fc.property(fc.oneof(damaged, fc.json(), fc.string(), deep), (text) => {
    for (const parse of Object.values(parsers)) {
      const result = parse(text, 'f')
      if (result.isErr()) expect(result.error.every(({ message }) => message.length > 0) && result.error.length > 0).toEqual(true)
    }
  }), { seed: 1, numRuns: 300 })
})

// Guards against crashes on values received over HTTP.
test('arbitrary values are rejected', () => {
  const rows = fc.array(fc.oneof(fc.jsonValue(), fc.dictionary(fc.constantFrom('name', 'zone', 'ports', 'routes', 'regions', 'methods', 'address'), fc.jsonValue())))
  const value = fc.record({ zones: rows, hosts: rows, services: rows, endpoints: rows, links: rows, objective: fc.jsonValue(), credentialHashes: rows }, { requiredKeys: [] })
  fc.assert(fc.property(fc.oneof(value, fc.jsonValue(), fc.anything()), (document) => {
    expect(validateDeployment(document).isErr()).toEqual(true)
    expect(validateContract(document).isErr()).toEqual(true)
  }), { seed: 2, numRuns: 500 })
})
