import { Deployment, sleep } from './Deployment.mjs'
import { listBroken, recordExits, startClients } from './keptTraffic.mjs'
import { listQuotesEndpoints, quotesConfig } from './quotes.mjs'
import { runCase } from './runCase.mjs'

const serviceMs = 300
const deadlineMs = 4_000
const clientsPerHost = 12
const troubleMs = 20_000
const foreignId = 'i-t\u016branga-1'

await runCase(new URL('.', import.meta.url), async ({ record, hasTrouble }) => {
  const routes = { order: { ...quotesConfig.routes.read, prefix: '/order/', kind: 'non_idempotent' } }
  const deployment = await Deployment.start({ endpoints: listQuotesEndpoints(2, serviceMs), config: { ...quotesConfig, routes }, restarts: true })
  try {
    return await play(deployment, record, hasTrouble)
  } finally {
    await deployment.stop()
  }
})

async function play (deployment, record, hasTrouble) {
  record.add('traffic starts')
  const clients = startClients(deployment.hosts, clientsPerHost, { method: 'POST', path: '/order/1', deadlineMs, body: 'order' })
  await sleep(3_000)
  if (hasTrouble) writeForeignEntry(deployment, record)
  await sleep(troubleMs)
  const requests = await clients.stop()
  recordExits(deployment, record, /^TypeError.*/gm)
  return listBroken({ deployment, requests, record, deadlineMs })
}

/**
 * Writes an entry of another writer: `version`, `sequence` and `cold_remaining_s` are missing, so it names no endpoint to use.
 * A sound endpoint listens at its address.
 */
function writeForeignEntry ({ store, endpoints }, record) {
  const { address, zone } = endpoints[0]
  const entry = { born: 1_700_000_000_000, address, info: { service: 'quotes', zone, slots: 12 }, status: { state: 'ready' } }
  store.put('servers', foreignId, entry)
  record.add(`another writer writes the entry ${foreignId}: ${JSON.stringify(entry)}`)
}
