import { Deployment, sleep } from './Deployment.mjs'
import { createClients, listLostRequests } from './pipelinedTraffic.mjs'
import { listQuotesEndpoints, quotesConfig } from './quotes.mjs'
import { runCase } from './runCase.mjs'

const graceMs = 6_000
/** Requests that were sent no later than this after the SIGTERM may be cut in the last sixth of the grace time. */
const excusedSendMs = 3_000
/** Time after the grace time up to which a planned stop may not cut requests. */
const slackMs = 1_000
const clientCount = 168
const clientStartGapMs = 36
const serviceMs = 560
const deadlineMs = 4_000
/** A client that got its directory response no longer than this before the SIGTERM still uses it when the process ends. */
const freshLookUpMs = 250

await runCase(new URL('.', import.meta.url), async ({ record, hasTrouble }) => {
  const deployment = await Deployment.start({ endpoints: listQuotesEndpoints(5, serviceMs), config: quotesConfig })
  try {
    return await play(deployment, record, hasTrouble)
  } finally {
    await deployment.stop()
  }
})

async function play (deployment, record, hasTrouble) {
  const { hosts } = deployment
  const clients = createClients(hosts, { count: clientCount, gapMs: 400, deadlineMs })
  record.add('traffic starts')
  const running = []
  for (const client of clients) {
    running.push(client.run())
    await sleep(clientStartGapMs)
  }
  await sleep(2_000)
  const host = chooseHost(hosts, clients)
  const signalMs = performance.now()
  if (hasTrouble) stopHost(host, record)
  await sleep(graceMs + 1_500)
  for (const client of clients) client.stop()
  await Promise.all(running)
  if (host.exit !== undefined) record.add(`${host.name} ended with ${host.exit.code ?? host.exit.signal}`, host.exit.atMs)
  return listBroken({ lost: listLostRequests({ deployment, clients, record, deadlineMs }), signalMs, host, hasTrouble })
}

/**
 * Chooses the host to stop. Of the many clients of a host a few have always just asked the directory; with the few clients of
 * this test, the host with most of them is taken.
 */
function chooseHost (hosts, clients) {
  const nowMs = performance.now()
  const count = (host) => clients.filter(({ connection, lookedUpAtMs }) => connection?.address === host.front && nowMs - lookedUpAtMs < freshLookUpMs).length
  return [...hosts].sort((a, b) => count(b) - count(a))[0]
}

/** Sends SIGTERM, and SIGKILL after the grace time, as the platform does. */
function stopHost (host, record) {
  host.child.kill('SIGTERM')
  record.add(`${host.name} (${host.front}) gets SIGTERM`)
  setTimeout(() => { if (host.exit === undefined) host.child.kill('SIGKILL') }, graceMs).unref()
}

/** Lists the requests that sound endpoints ran and that were lost with their connection, without those that the rule excuses. */
function listBroken ({ lost, signalMs, host, hasTrouble }) {
  const isExcused = ({ address, sentMs, endedMs }) => hasTrouble && address === host.front &&
    (sentMs - signalMs <= excusedSendMs || endedMs > signalMs + graceMs + slackMs)
  return lost.filter((request) => !isExcused(request)).map(({ id, address, endpoint, sentMs, endedMs }) =>
    `LOST: ${id} was sent to ${address} ${format(sentMs - signalMs)} s after the SIGTERM, ${endpoint} ran it, and the connection ended without a response ${format(endedMs - signalMs)} s after the SIGTERM`)
}

function format (ms) {
  return (ms / 1_000).toFixed(2)
}
