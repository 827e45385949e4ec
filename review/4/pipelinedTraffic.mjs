import { PipeliningClient } from './PipeliningClient.mjs'

const places = [['north', 'north-a'], ['south', 'south-a'], ['west', 'west-a']]

/** Creates clients that pipeline, spread over the regions; each asks the directories of its own zone first. */
export function createClients (hosts, { count, gapMs, deadlineMs }) {
  return Array.from({ length: count }, (_value, index) => {
    const [region, zone] = places[index % places.length]
    const directories = [...hosts].sort((a, b) => Number(b.zone === zone) - Number(a.zone === zone)).slice(0, 3).map(({ directory }) => directory)
    return new PipeliningClient({ name: `c${index}`, directories, query: `name=shop.example&region=${region}&zone=${zone}`, gapMs, deadlineMs })
  })
}

/**
 * Records all requests and lists those that only sound endpoints ran and whose connection the host closed without an answer.
 * Requests behind a response that closes the connection, and those whose time was over, don't count.
 */
export function listLostRequests ({ deployment, clients, record, deadlineMs, faultyIds = [] }) {
  const runsById = groupById(deployment.listRuns())
  const lost = []
  for (const { id, address, sentMs, status, answeredMs, endedMs, isBehindClose } of clients.flatMap(({ requests }) => requests)) {
    const runs = runsById.get(id) ?? []
    const end = status === undefined ? 'the connection ended without a response' : `response ${status}`
    const places = runs.map(({ endpoint, isSpoilt }) => `${endpoint}${isSpoilt === true ? ' (response spoilt)' : ''}`).join(', ')
    record.add(`${id} sent to ${address}; run by ${places || 'nobody'}; ${end} after ${Math.round((answeredMs ?? endedMs) - sentMs)} ms`, sentMs)
    if (status !== undefined || isBehindClose || runs.length === 0 || endedMs - sentMs >= deadlineMs) continue
    if (runs.some(({ endpoint }) => faultyIds.includes(endpoint))) continue
    lost.push({ id, address, sentMs, endedMs, endpoint: runs.at(-1).endpoint })
  }
  return lost
}

function groupById (runs) {
  const groups = new Map()
  for (const run of runs) groups.set(run.id, [...groups.get(run.id) ?? [], run])
  return groups
}
