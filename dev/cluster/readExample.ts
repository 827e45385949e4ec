import { readdirSync, readFileSync } from 'node:fs'
import { join } from 'node:path'
import { parse } from 'jsonc-parser'
import type { Settings } from '../../src/config/Settings.js'
import type { HostSpec } from '../../src/model/HostSpec.js'
import type { Deployment } from '../../src/model/Deployment.js'
import type { ExampleContract } from './ExampleContract.js'

/** An example deployment on its own loopback network. */
interface Example {
  readonly deployment: Deployment
  readonly contracts: readonly ExampleContract[]
  /** Settings as written in the files; ports, limits and log levels may be missing. */
  readonly settings: readonly (Pick<Settings, 'host' | 'zone' | 'address' | 'clusterKey' | 'seeds' | 'platform'> & Partial<Settings>)[]
}

const defaultPorts = { caller: 8080, internal: 8081, peer: 8082, lookup: 8083, agent: 8084, operator: 8085, entryAdmin: 8086 }
const examplesFolder = join(import.meta.dirname, '../../..', 'examples')

/** Reads example `name` and rewrites its addresses from 127.x to 127.`network`. */
export function readExample (name: string, network: number): Example {
  const folder = join(examplesFolder, name)
  const read = (file: string): unknown => parse(readFileSync(join(folder, file), 'utf8').replace(/\b127\.\d+\./g, `127.${network}.`))
  const raw = read('deployment.jsonc') as Deployment
  const hosts = raw.hosts.map((host): HostSpec => ({ ...host, ports: { ...defaultPorts, ...host.ports } }))
  return {
    deployment: { ...raw, hosts },
    contracts: read('contracts.jsonc') as ExampleContract[],
    settings: readdirSync(join(folder, 'hosts')).map((file) => read(join('hosts', file)) as Example['settings'][number])
  }
}
