#!/usr/bin/env node
import { readFileSync } from 'node:fs'
import { Command } from 'commander'
import { parse } from 'jsonc-parser'
import { createLogger } from '../common/createLogger.js'
import { DialMap } from '../common/DialMap.js'
import { SystemClock } from '../common/SystemClock.js'
import type { Settings } from '../config/Settings.js'
import { Agent } from '../control/Agent.js'
import { computeEvenPortions } from '../control/computeEvenPortions.js'
import { HttpHostList } from '../platform/HttpHostList.js'
import { HttpObjectStore } from '../platform/HttpObjectStore.js'
import { HttpTableService } from '../platform/HttpTableService.js'
import { PlatformHttp } from '../platform/PlatformHttp.js'

const version = '0.1.0'

/** Reads settings without checks; gives way to `loadSettings` of src/config. */
function readSettings (path: string): Settings {
  const partial = parse(readFileSync(path, 'utf8')) as Partial<Settings>
  return {
    dial: {},
    seeds: [],
    operators: [],
    log: { default: 'info' },
    stopTimeoutMs: 900_000,
    limits: { maxConnections: 10_000, maxHeaderBytes: 16_384, headersTimeoutMs: 10_000, idleTimeoutMs: 60_000 },
    ...partial,
    ports: { caller: 8080, internal: 8081, peer: 8082, lookup: 8083, agent: 8084, operator: 8085, entryAdmin: 8086, ...partial.ports }
  } as Settings
}

/** Runs the agent until SIGTERM or SIGINT. */
async function main (): Promise<void> {
  const command = new Command('shunt-agent')
    .description('Control plane of one host: membership, configuration, operators\' interface')
    .version(version)
    .requiredOption('--settings <file>', 'settings of the host, JSON with comments')
    .parse()
  const settings = readSettings(command.opts<{ settings: string }>().settings)
  const clock = new SystemClock()
  const createLog = createLogger({ clock, levels: settings.log, host: settings.host, process: 'shunt-agent' })
  const http = new PlatformHttp({ url: settings.platform.url, timeoutMs: settings.platform.timeoutMs, dial: new DialMap(settings.dial) })
  const agent = new Agent({
    settings,
    clock,
    createLog,
    table: new HttpTableService(http),
    objects: new HttpObjectStore(http),
    hosts: new HttpHostList(http),
    computePortions: computeEvenPortions,
    tls: settings.tls === undefined ? undefined : { cert: readFileSync(settings.tls.certFile, 'utf8'), key: readFileSync(settings.tls.keyFile, 'utf8') }
  })
  let stopping = false
  const stop = (): void => {
    if (stopping) return
    stopping = true
    agent.stop().then(() => { http.close() }).then(() => process.exit(0), () => process.exit(1))
  }
  process.on('SIGTERM', stop)
  process.on('SIGINT', stop)
  await agent.start()
}

main().catch((err: unknown) => {
  process.stderr.write(`shunt-agent: ${err instanceof Error ? err.message : 'start failed'}\n`)
  process.exit(1)
})
