import { existsSync, readdirSync, readFileSync } from 'node:fs'
import { cpus } from 'node:os'
import { join } from 'node:path'
import { run } from 'node:test'

/** What a run of test files counted. */
interface Tally {
  passed: number
  failed: number
  knownRed: number
}

/** The parts of a test event that the summary needs. */
interface TestEventData {
  readonly name: string
  readonly file?: string
  readonly details: { readonly duration_ms: number, readonly type?: string, readonly error?: Error }
}

const testRoot = 'dist/test'
const clusterFolder = 'cluster'
const fileTimeoutMs = 240_000
// Each deployment is about 24 processes that use two to three cores.
const coresPerDeployment = 3
const clusterConcurrency = Math.max(1, Math.floor(cpus().length / coresPerDeployment))

/** Reads the names of tests that may fail: lines `test: <name>` of KNOWN-RED.txt. */
function readKnownRed (): Set<string> {
  if (!existsSync('KNOWN-RED.txt')) return new Set()
  const lines = readFileSync('KNOWN-RED.txt', 'utf8').split('\n')
  return new Set(lines.filter((line) => line.startsWith('test: ')).map((line) => line.slice('test: '.length).trim()))
}

function listTestFiles (folder: string): string[] {
  return readdirSync(folder, { withFileTypes: true, recursive: true })
    .filter((entry) => entry.isFile() && entry.name.endsWith('.test.js'))
    .map((entry) => join(entry.path, entry.name))
    .sort()
}

/** Runs files and prints one line per test; failures come with their error. */
async function runFiles (files: readonly string[], concurrency: number, knownRed: ReadonlySet<string>, tally: Tally): Promise<void> {
  if (files.length === 0) return
  const stream = run({ files: [...files], concurrency, timeout: fileTimeoutMs })
  stream.on('test:pass', (data: TestEventData) => {
    if (data.details.type === 'suite' || data.name.endsWith('.test.js')) return
    tally.passed += 1
    console.log(`ok ${data.name} (${Math.round(data.details.duration_ms)} ms)`)
  })
  stream.on('test:fail', (data: TestEventData) => {
    const isKnown = knownRed.has(data.name)
    tally[isKnown ? 'knownRed' : 'failed'] += 1
    console.log(`${isKnown ? 'known red' : 'FAILED'} ${data.name} (${data.file ?? ''})`)
    const { error } = data.details
    if (error !== undefined) console.log(error.cause ?? error)
  })
  stream.on('test:stderr', (data: { readonly message: string }) => { process.stderr.write(data.message) })
  for await (const event of stream) {
    if (event.type === 'test:stdout' && process.env.TEST_STDOUT === '1') process.stdout.write(event.data.message)
  }
}

const only = process.argv.slice(2)
const files = listTestFiles(testRoot).filter((file) => only.length === 0 || only.some((part) => file.includes(part)))
const isCluster = (file: string): boolean => file.includes(`/${clusterFolder}/`)
const knownRed = readKnownRed()
const tally: Tally = { passed: 0, failed: 0, knownRed: 0 }

// Tests with real processes measure time, so they run after the others and few at once.
await runFiles(files.filter((file) => !isCluster(file)), Math.max(2, Math.floor(cpus().length / 2)), knownRed, tally)
// The longest file comes last by name, so the order is reversed.
await runFiles(files.filter(isCluster).reverse(), clusterConcurrency, knownRed, tally)
if (tally.knownRed > 0) console.log(`${tally.knownRed} known red, see KNOWN-RED.txt`)
console.log(`${tally.passed} passed, ${tally.failed} failed`)
process.exit(tally.failed > 0 || tally.passed === 0 ? 1 : 0)
