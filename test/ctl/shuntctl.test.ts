import { mkdtempSync, readFileSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { after, beforeEach, test } from 'node:test'
import { expect } from 'earl'
import { exitCodes } from '../../src/common/exitCodes.js'
import { parseContracts } from '../../src/config/parseContracts.js'
import { parseDeployment } from '../../src/config/parseDeployment.js'
import { FakeOperatorHost } from './FakeOperatorHost.js'
import { runCtl } from './runCtl.js'

const deploymentFile = 'examples/caroni/deployment.jsonc'
const contractsFile = 'examples/caroni/contracts.jsonc'
const folder = mkdtempSync(join(tmpdir(), 'ctl-'))
const first = await new FakeOperatorHost('127.24.2.1').listen()
const second = await new FakeOperatorHost('127.24.2.2', first.state).listen()
const hosts = '127.24.2.1:8085,127.24.2.2:8085'
const unreachableHost = '127.24.2.9:8085'
const run = async (args: string, ...more: string[]) => await runCtl(hosts, [...args.split(' '), ...more])

after(async () => { await Promise.all([first.close(), second.close()]) })

beforeEach(() => {
  const deployment = parseDeployment(readFileSync(deploymentFile, 'utf8'), 'd')._unsafeUnwrap()
  const contracts = parseContracts(readFileSync(contractsFile, 'utf8'), 'c')._unsafeUnwrap()
  Object.assign(first.state, { version: 7, deployment, contracts: new Map(contracts.map((contract) => [contract.customer, { ...contract, version: 2 }])), drains: [], log: [] })
  for (const host of [first, second]) Object.assign(host, { mode: 'normal', pollsUntilApplied: 0 }).receivedRequests.length = 0
})

function writeContract (changes: object): string {
  const file = join(folder, 'contract.jsonc')
  const { version, ...contract } = first.state.contracts.get('sports-clubs')!
  writeFileSync(file, JSON.stringify({ ...contract, ...changes }))
  return file
}

// Guards against an initial load that needs more than the example files, and against writes of unchanged contracts.
test('deployment and contracts are applied, and applying contracts again changes nothing', async () => {
  Object.assign(first.state, { version: 0, deployment: undefined, contracts: new Map() })
  expect((await run('contract list')).stderr).toInclude('Next: Load the first configuration with "shuntctl deployment apply FILE".')
  expect((await run('deployment apply', deploymentFile, '--wait')).stdout).toEqual('deployment. Accepted as configuration version 1 and in force.\n')
  const applied = await run('contract apply', contractsFile, '--json')
  expect([applied.code, (JSON.parse(applied.stdout) as unknown[]).length, first.state.contracts.size]).toEqual([0, 6, 6])
  const again = await run('contract apply', contractsFile, '--json')
  expect((JSON.parse(again.stdout) as Array<{ result: string }>).map(({ result }) => result)).toEqual(Array(6).fill('unchanged'))
  expect((await run('contract diff', contractsFile)).stdout).toEqual('No differences.\n')
})

// Guards against a silent overwrite of another operator's change.
test('a contract with an outdated version conflicts', async () => {
  const stale = await run('contract apply', writeContract({ version: 1, rate: 7 }))
  expect([stale.code, first.state.contracts.get('sports-clubs')!.rate]).toEqual([exitCodes.conflict.code, 40])
  expect(stale.stderr).toInclude('[6001 contractConflict]\nNext: ')
  expect((await run('contract apply', writeContract({ version: 2, rate: 7 }))).code).toEqual(0)
})

// Guards against hidden differences, and against dry runs that change something.
test('diff and dry run show changes without making them', async () => {
  const diff = await run('contract diff', writeContract({ rate: 41 }))
  expect([diff.code, diff.stdout]).toEqual([exitCodes.differs.code, 'sports-clubs\n  rate: 40 -> 41\n'])
  expect((await run('contract apply', writeContract({ rate: 41 }), '--dry-run')).stdout).toInclude('would change')
  expect((await run('contract remove sports-clubs --dry-run')).code).toEqual(0)
  expect(first.state.contracts.get('sports-clubs')!.rate).toEqual(40)
  expect((await run('contract remove sports-clubs')).code).toEqual(0)
  expect((await run('contract show sports-clubs')).stderr).toInclude('[6007 unknownItem]')
})

// Guards against commands that fail because the first host is unreachable or cannot reach the platform.
test('the next host is tried', async () => {
  const list = await runCtl(`${unreachableHost},${hosts}`, ['contract', 'list'])
  expect([list.code, list.stdout.split('\n').length]).toEqual([0, 8])
  expect(list.stderr).toInclude('Trying 127.24.2.1:8085')
  first.mode = 'no-platform'
  expect((await run('drain add host north-a-1')).code).toEqual(0)
  second.mode = 'no-platform'
  const refused = await run('drain add host north-a-2')
  expect([refused.code, first.state.drains.length]).toEqual([exitCodes.refused.code, 1])
  const none = await runCtl(unreachableHost, ['contract', 'list'])
  expect([none.code, none.stdout]).toEqual([exitCodes.unreachable.code, ''])
})

// Guards against a change that is applied twice or reported as failed because its response was lost.
test('a write with a lost response is resolved with one write id', async () => {
  for (const mode of ['lose-after', 'lose-before', 'write-unknown'] as const) {
    first.mode = mode
    const added = await run('drain add zone', `tobago-${mode}`, '--json')
    expect([mode, added.code]).toEqual([mode, 0])
    const { writeId } = JSON.parse(added.stdout) as { writeId: string }
    const writes = [...first.receivedRequests, ...second.receivedRequests].filter((line) => line.startsWith('POST drains'))
    expect(new Set(writes)).toEqual(new Set([`POST drains ${writeId}`]))
    expect(first.state.drains.filter(({ name }) => name === `tobago-${mode}`)).toHaveLength(1)
    first.receivedRequests.length = 0
    second.receivedRequests.length = 0
  }
})

// Guards against a write of unknown outcome that is reported as not run.
test('an outcome that stays unknown has its own exit code', async () => {
  first.mode = 'lose-before'
  const lost = await runCtl('127.24.2.1:8085', ['drain', 'add', 'host', 'north-a-1', '--timeout', '1'])
  expect(lost.code).toEqual(exitCodes.unknown.code)
  const writeId = /shuntctl write (ctl-[\w-]+)/.exec(lost.stderr)?.[1] ?? ''
  expect((await run('write', writeId)).code).toEqual(exitCodes.unknown.code)
  first.mode = 'normal'
  const made = JSON.parse((await run('drain add host north-a-1 --json')).stdout) as { writeId: string }
  expect((await run('write', made.writeId)).stdout).toInclude('Accepted as configuration version 8, made by anna')
})

// Guards against trusting one host's "not run" for a write that another, unreachable host may still execute.
test('a write is not run only when every host reports so', async () => {
  for (const host of [first, second]) host.outcomeOfUnloggedWrite = 'not-run'
  const all = await run('write ctl-lost --json')
  const some = await runCtl(`127.24.2.1:8085,${unreachableHost}`, ['write', 'ctl-lost', '--json'])
  for (const host of [first, second]) host.outcomeOfUnloggedWrite = 'unknown'
  expect([all.stdout, some.stdout].map((text) => (JSON.parse(text) as { outcome: string }).outcome)).toEqual(['not-run', 'unknown'])
})

// Guards against a wait that ends too early, never ends, or writes its progress to stdout.
test('--wait reports progress until the change is in force', async () => {
  first.pollsUntilApplied = 2
  const waited = await run('drain add host north-a-1 --wait --json')
  expect([waited.code, (JSON.parse(waited.stdout) as { drained: boolean }).drained]).toEqual([0, true])
  expect(waited.stderr).toEqual('drain host north-a-1: 2 in flight\ndrain host north-a-1: 0 in flight\n')
  first.pollsUntilApplied = 1_000
  const late = await run('drain cancel host north-a-1 --wait --timeout 1')
  expect(late.code).toEqual(exitCodes.timeout.code)
  expect(late.stderr).toInclude('cannot be reached: north-a-1')
})

// Guards against read commands that no longer match the operators' interface.
test('every read command prints a table and JSON', async () => {
  const commands: Array<[string, RegExp]> = [
    ['contract list', /^sports-clubs +2 +40 +20 +16 /m], ['contract show sports-clubs', /"rate": 40/], ['deployment show', /^stock-listing +stock +20 +100$/m],
    ['drain list', /^\(none\)$/], ['host list', /^north-a-1 +north-a +alive +7 +7 +yes +no +3$/m], ['zone list', /^tobago-a +tobago +1 +1 +1 +7 +no$/m],
    ['host list --compare', /^The hosts that answered agree\.$/], ['limits sports-clubs', /^north-a-1 +alive +1 +2 +2 +3$/m],
    ['config status', /^north-a-1 +north-a +cannot be reached/m], ['explain sports-clubs order-ledger --method POST --path /x', /^route +POST \/x$/m],
    ['metrics', /^shunt_up 1$/], ['metrics 127.24.2.2:8085', /^shunt_up 1$/]
  ]
  await Promise.all(commands.map(async ([command, pattern]) => {
    const [text, json] = await Promise.all([run(command), run(`${command} --json`)])
    expect([command, text.code, json.code]).toEqual([command, 0, 0])
    expect(text.stdout.trimEnd()).toMatchRegex(pattern)
    expect(JSON.parse(json.stdout) !== null).toEqual(true)
  }))
})

// Guards against credentials in arguments, errors without a next step, and crashes on responses of other servers.
test('invalid input and unexpected responses are rejected with a next step', async () => {
  const file = join(folder, 'credential')
  writeFileSync(file, 'secret\n')
  const cases: Array<[string, NodeJS.ProcessEnv, keyof typeof exitCodes]> = [
    ['contract list', { SHUNT_CREDENTIAL: 'wrong' }, 'denied'], ['contract list', { SHUNT_CREDENTIAL: '' }, 'denied'], [`contract list --credential-file ${file}`, { SHUNT_CREDENTIAL: '' }, 'ok'],
    ['contract list --credential secret', {}, 'usage'], ['contract list --hosts north:1', {}, 'usage'], ['contract list --timeout x', {}, 'usage'], ['contract list', { SHUNT_HOSTS: '' }, 'usage'],
    ['drain add shelf x', {}, 'usage'], ['contract apply none.jsonc', {}, 'invalid'], ['contract apply package.json', {}, 'invalid'], ['contract show nobody', {}, 'refused'], ['metrics nobody', {}, 'refused']
  ]
  for (const [command, environment, exit] of cases) {
    const result = await runCtl(hosts, command.split(' '), environment)
    expect([command, result.code]).toEqual([command, exitCodes[exit].code])
    if (exit !== 'ok' && exit !== 'usage') expect(result.stderr).toInclude('\nNext: ')
  }
  first.mode = 'garbage'
  const foreign = await run('contract list --json')
  expect([foreign.code, foreign.stdout]).toEqual([exitCodes.internal.code, ''])
  expect((JSON.parse(foreign.stderr) as { error: { next: string } }).error.next.length).toBeGreaterThan(0)
})

// Guards against an offline check that mistakes the kind of a file or hides problems.
test('check reads every kind of file offline', async () => {
  for (const [file, kind] of [[deploymentFile, 'deployment'], [contractsFile, 'contracts'], ['examples/caroni/hosts/north-a-1.jsonc', 'settings']] as const) {
    expect((await runCtl('', ['check', file])).stdout).toEqual(`${file}: valid ${kind}\n`)
  }
  const file = join(folder, 'bad.jsonc')
  writeFileSync(file, readFileSync(deploymentFile, 'utf8').replaceAll('"slots": 5', '"slots": 0'))
  const bad = await runCtl('', ['check', file])
  expect([bad.code, bad.stderr.match(/slots: Too small/g)?.length]).toEqual([exitCodes.invalid.code, 20])
})
