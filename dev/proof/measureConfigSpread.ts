import { createHash } from 'node:crypto'
import type { Cluster } from '../Cluster.js'
import { resultCodes } from '../../src/common/resultCodes.js'
import { sendRequest } from '../common/sendRequest.js'

/** Result of a configuration change whose spread was measured. */
interface SpreadResult {
  /** HTTP status of the operator interface's response. */
  readonly status: number
  /** Time in ms from sending the change until the last host applied it; undefined after a timeout. */
  readonly spreadMs: number | undefined
}

const pollMs = 20
const spreadLimitMs = 15_000
const unauthorizedStatus = 401
const throttledCode = String(resultCodes.credentialThrottled.code)

/**
 * Adds a credential to a contract, with `changes` in the same write, and measures when every host accepts it at the
 * caller port and at the lookup port. Polls from a new address each time, since wrong credentials are throttled by address.
 */
export async function measureConfigSpread (cluster: Cluster, customer: string, changes: Record<string, unknown> = {}, hosts = cluster.hostNames): Promise<SpreadResult> {
  const contract = cluster.contracts.find((candidate) => candidate.customer === customer)!
  const credential = `added-${customer}-${Date.now()}`
  const hash = createHash('sha256').update(credential).digest('hex')
  const startMs = performance.now()
  const waits = hosts.map(async (host, index) => await waitForCredential(cluster, { host, index, contract, credential, startMs }))
  const answer = await cluster.operator(hosts[0]).changeContract(customer, { ...changes, credentialHashes: [...contract.credentialHashes, hash] })
  const times = await Promise.all(waits)
  const spreadMs = times.every((time) => time !== undefined) ? Math.round(Math.max(...times)) : undefined
  return { status: answer.status, spreadMs }
}

/** Wait for one host to accept a new credential. */
interface CredentialWait {
  readonly host: string
  readonly index: number
  readonly contract: Cluster['contracts'][number]
  readonly credential: string
  readonly startMs: number
}

async function waitForCredential (cluster: Cluster, { host, index, contract, credential, startMs }: CredentialWait): Promise<number | undefined> {
  const { address, ports } = cluster.host(host)
  const path = cluster.deployment.services.find(({ name }) => name === contract.services[0])!.path
  const urls = [`http://${address}:${ports.caller}/${path}/spread`, `http://${address}:${ports.lookup}/v1/lookup`]
  const network = address.split('.')[1]
  for (let tries = 0; performance.now() - startMs < spreadLimitMs; tries += 1) {
    const localAddress = `127.${network}.${200 + index}.${1 + tries % 250}`
    const statuses = await Promise.all(urls.map(async (url) => await readStatus(url, credential, localAddress)))
    if (statuses.every((status) => status !== unauthorizedStatus && status !== 0)) return performance.now() - startMs
    await new Promise((resolve) => setTimeout(resolve, pollMs))
  }
  return undefined
}

async function readStatus (url: string, credential: string, localAddress: string): Promise<number> {
  try {
    const { status, headers } = await sendRequest(url, { headers: { authorization: `Bearer ${credential}` }, localAddress, timeoutMs: 3_000 })
    return headers['shunt-code'] === throttledCode ? unauthorizedStatus : status
  } catch {
    return 0
  }
}
