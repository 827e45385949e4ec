import { test } from 'node:test'
import { expect } from 'earl'
import type { PlatformEndpoint } from '../../dev/store/PlatformEndpoint.js'
import { HostGroup } from '../support/HostGroup.js'

async function withGroup (hosts: number, endpoints: number, run: (group: HostGroup) => Promise<void>): Promise<void> {
  const group = await HostGroup.start(hosts, endpoints)
  try {
    await run(group)
  } finally {
    await group.stop()
  }
}

/** Ids of the requests that endpoints ran, of all of them together. */
function listRuns (group: HostGroup): string[] {
  return group.endpoints.flatMap((endpoint) => endpoint.runs.map((run) => run.id))
}

function setBehaviour (endpoints: readonly PlatformEndpoint[], behaviour: PlatformEndpoint['behaviour']): void {
  for (const endpoint of endpoints) endpoint.behaviour = behaviour
}

// Guards against a request that arrives changed, without its deadline, or for another incarnation than is named.
test('a request reaches an endpoint unchanged', async () => {
  await withGroup(1, 1, async (group) => {
    const answer = await group.send({ method: 'POST', path: '/order/x?y=%20z', id: 'id-1', body: 'some bytes' })
    expect(answer.status).toEqual(200)
    expect(answer.body).toEqual('done e-0')
    expect(answer.headers['x-server-signature']).toEqual('sig-e-0')
    const run = group.endpoints[0]!.runs[0]!
    expect([run.method, run.path, run.body, run.id]).toEqual(['POST', '/order/x?y=%20z', 'some bytes', 'id-1'])
    expect(run.headers.host).toEqual('shop.example')
    expect(run.headers['x-expect-instance']).toEqual('e-0')
    expect(Number(run.headers['x-deadline-ms']) <= 1_000).toEqual(true)
  })
})

// Guards against a host that denies what the configuration may allow because it doesn't know one.
test('without a configuration a request is refused for now', async () => {
  const group = await HostGroup.start(0, 1)
  group.store.faults.down = 'silence'
  await group.addHost()
  try {
    const answer = await group.send()
    expect(answer.status).toEqual(503)
    expect(Number(answer.headers['retry-after']) < 1).toEqual(true)
    expect((await group.ask('readiness', '/v1/readiness')).status).toEqual(503)
  } finally {
    await group.stop()
  }
})

// Guards against a request for a route that no configuration has.
test('an unknown route is not found', async () => {
  await withGroup(1, 1, async (group) => {
    expect((await group.send({ path: '/nowhere/' })).status).toEqual(404)
    expect((await group.send({ host: 'else.example' })).status).toEqual(404)
  })
})

// Guards against work that is lost although another endpoint could do it.
test('shed work is done by another endpoint', async () => {
  await withGroup(1, 3, async (group) => {
    group.endpoints[0]!.behaviour = 'shed'
    group.endpoints[1]!.behaviour = 'shed'
    for (let index = 0; index < 6; index++) expect((await group.send({ method: 'POST', path: '/order/', object: String(index) })).status).toEqual(200)
  })
})

// Guards against non-idempotent work that runs a second time after its answer was lost.
test('an order whose answer is lost is not repeated', async () => {
  await withGroup(1, 3, async (group) => {
    setBehaviour(group.endpoints, 'lost')
    const answer = await group.send({ method: 'POST', path: '/order/', id: 'order-1' })
    expect(answer.status).toEqual(502)
    expect(listRuns(group)).toEqual(['order-1'])
  })
})

// Guards against idempotent work that fails although a second endpoint answers.
test('a read whose answer is lost is repeated', async () => {
  await withGroup(1, 2, async (group) => {
    const first = group.endpoints.find((endpoint) => endpoint.runs.length > 0)
    expect(first).toEqual(undefined)
    await group.send({ id: 'probe' })
    group.endpoints.find((endpoint) => endpoint.runs.length > 0)!.behaviour = 'lost'
    const answer = await group.send({ id: 'read-1' })
    expect(answer.status).toEqual(200)
    expect(listRuns(group).filter((id) => id === 'read-1').length).toEqual(2)
  })
})

// Guards against an answer without a length whose connection was reset and that is passed on as whole.
test('a cut answer without a length is no answer', async () => {
  await withGroup(1, 2, async (group) => {
    setBehaviour(group.endpoints, 'cut')
    const answer = await group.send({ method: 'POST', path: '/order/' })
    expect(answer.status).toEqual(502)
    expect(answer.headers['x-server-signature']).toEqual(undefined)
  })
})

// Guards against a second answer of an endpoint that is passed on as the answer to the next request.
test('an extra answer never reaches another request', async () => {
  await withGroup(1, 1, async (group) => {
    setBehaviour(group.endpoints, 'extra')
    for (let index = 0; index < 20; index++) {
      const answer = await group.send({ id: `read-${index}` })
      expect(answer.status === 200 ? answer.headers['x-request-id'] : `read-${index}`).toEqual(`read-${index}`)
    }
  })
})

// Guards against callers that wait past their route's timeout.
test('a silent endpoint ends in a timeout', async () => {
  await withGroup(1, 1, async (group) => {
    setBehaviour(group.endpoints, 'silent')
    const startMs = performance.now()
    const answer = await group.send({ method: 'POST', path: '/order/' })
    expect(answer.status).toEqual(504)
    expect(performance.now() - startMs < 1_400).toEqual(true)
  })
})

// Guards against an address that another service took over.
test('an endpoint with another name runs nothing', async () => {
  await withGroup(1, 1, async (group) => {
    const other = group.endpoints[0]!
    group.store.tables.put('servers', 'e-gone', { ...other.describe('stock', 'north-a') })
    group.store.tables.remove('servers', 'e-0')
    await group.waitUntil(() => group.logger.lines.some((line) => line.includes('known=1')))
    await new Promise((resolve) => setTimeout(resolve, 400))
    const answer = await group.send({ method: 'POST', path: '/order/', id: 'moved' })
    expect(answer.status).toEqual(503)
    expect(listRuns(group).includes('moved')).toEqual(false)
  })
})

// Guards against new work for an endpoint that has announced that it leaves.
test('a draining endpoint gets nothing new', async () => {
  await withGroup(1, 2, async (group) => {
    const leaving = group.endpoints[0]!
    group.store.tables.put('servers', 'e-0', leaving.describe('stock', 'north-a', { state: 'draining' }))
    await group.waitUntil(() => group.logger.lines.some((line) => line.includes('draining=1')))
    for (let index = 0; index < 20; index++) await group.send({ object: String(index) })
    expect(leaving.runs.length).toEqual(0)
  })
})

// Guards against requests for a zone that the operator has evacuated.
test('an evacuated zone gets nothing', async () => {
  await withGroup(1, 2, async (group) => {
    group.store.tables.put('op', 'evacuate/north-a', {})
    await group.waitUntil(() => group.logger.lines.some((line) => line.includes('zone-evacuated')))
    expect((await group.send()).status).toEqual(503)
    group.store.tables.remove('op', 'evacuate/north-a')
    await group.waitUntil(() => group.logger.lines.filter((line) => line.includes('endpoint-up')).length === 2)
    expect((await group.send()).status).toEqual(200)
  })
})

// Guards against a host that the store turns away and that goes on with an old configuration.
test('a host learns from its peers what the store does not tell it', async () => {
  await withGroup(2, 1, async (group) => {
    await group.waitUntil(() => group.logger.lines.filter((line) => line.includes('peer-up')).length >= 2)
    group.store.tables.forgetHistory()
    group.putConfig({ 'r-new': { host: 'shop.example', prefix: '/new/', kind: 'idempotent', timeout_s: 1, service: 'stock', max_attempts: 1 } })
    for (const host of [0, 1]) {
      for (let tries = 0; (await group.send({ path: '/new/' }, host)).status !== 200; tries++) {
        expect(tries < 200).toEqual(true)
        await new Promise((resolve) => setTimeout(resolve, 20))
      }
    }
  })
})

// Guards against a host that starts while the store is down and serves nothing although its peers know everything.
test('a host that starts without the store learns from its peers', async () => {
  await withGroup(1, 1, async (group) => {
    group.store.faults.down = 'reset'
    await group.addHost()
    await group.waitUntil(() => group.hosts.every((host) => host.isReady))
    expect((await group.send({}, 1)).status).toEqual(200)
  })
})

// Guards against an outage of the store that stops the traffic.
test('traffic goes on while the store is away', async () => {
  await withGroup(1, 2, async (group) => {
    group.store.faults.down = 'busy'
    await group.waitUntil(() => group.logger.lines.some((line) => line.includes('store-lost')))
    expect((await group.send()).status).toEqual(200)
  })
})

// Guards against a planned stop that cuts a request, and against callers that are still sent to the host.
test('a planned stop answers what it has read', async () => {
  await withGroup(1, 1, async (group) => {
    group.endpoints[0]!.workMs = 600
    const slow = group.send({ path: '/read/slow' })
    await group.waitUntil(() => group.endpoints[0]!.runs.length === 1)
    const stopped = group.hosts[0]!.stop()
    expect((await group.ask('readiness', '/v1/readiness')).status).toEqual(503)
    expect((await group.ask('directory', '/v1/resolve?name=x&region=north&zone=north-a')).status).toEqual(503)
    const answer = await slow
    expect(answer.status).toEqual(200)
    expect(answer.headers.connection).toEqual('close')
    await stopped
  })
})

// Guards against endpoints that go on working for a caller who has left.
test('a caller that leaves ends its work', async () => {
  await withGroup(1, 1, async (group) => {
    group.endpoints[0]!.behaviour = 'silent'
    const socket = group.connect()
    socket.write('GET /read/1 HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: gone\r\nX-Deadline-Ms: 1000\r\n\r\n')
    await group.waitUntil(() => group.endpoints[0]!.runs.length === 1)
    socket.destroy()
    await group.waitUntil(() => group.logger.lines.some((line) => line.includes('caller-left')))
  })
})

// Guards against callers that are sent to hosts that don't serve.
test('the directory names the serving hosts', async () => {
  await withGroup(2, 1, async (group) => {
    const named = async (): Promise<string[]> => {
      const answer = await group.ask('directory', '/v1/resolve?name=x&region=north&zone=north-a')
      return (JSON.parse(answer.body) as { addresses: string[] }).addresses.sort()
    }
    const all = group.settings.map((settings) => settings.listen.callers).sort()
    for (let tries = 0; (await named()).length < 2; tries++) {
      expect(tries < 200).toEqual(true)
      await new Promise((resolve) => setTimeout(resolve, 20))
    }
    expect(await named()).toEqual(all)
    const stopped = group.hosts[1]!.stop()
    await new Promise((resolve) => setTimeout(resolve, 300))
    expect(await named()).toEqual([group.settings[0]!.listen.callers])
    await stopped
  })
})

// Guards against an incident that can't be followed from the id of its request.
test('a refusal is logged with the id, its reason and the configuration', async () => {
  await withGroup(1, 1, async (group) => {
    setBehaviour(group.endpoints, 'shed')
    await group.send({ id: 'wanted-id' })
    const line = group.logger.lines.find((text) => text.includes('id=wanted-id'))!
    expect(line.includes('refused')).toEqual(true)
    expect(line.includes('config=1')).toEqual(true)
    expect(line.includes('endpoint=e-0')).toEqual(true)
    const metrics = await group.ask('metrics', '/metrics')
    expect(metrics.body.includes('shunt_refused_total')).toEqual(true)
  })
})

// Guards against callers that may send more than the configuration allows.
test('too many header bytes and too long bodies are refused', async () => {
  await withGroup(1, 1, async (group) => {
    expect((await group.send({ object: 'x'.repeat(17_000) })).status).toEqual(431)
    expect((await group.send({ method: 'POST', path: '/order/', body: 'x'.repeat(1_000_001) })).status).toEqual(413)
    expect(listRuns(group)).toEqual([])
  })
})

// Guards against a broken endpoint that every host has to find out for itself, each with requests of its callers.
test('a host avoids an endpoint that others found broken', async () => {
  await withGroup(3, 3, async (group) => {
    const [broken] = group.endpoints as [PlatformEndpoint]
    broken.behaviour = 'lost'
    const order = async (index: number, host: number): Promise<number> => (await group.send({ method: 'POST', path: '/order/1', body: 'x', object: String(index) }, host)).status
    for (let index = 0; index < 20; index++) await order(index, index % 2)
    await group.waitUntil(() => group.logger.lines.some((line) => /endpoint-reported endpoint=e-0 hosts=2 breaks=\d+ ownBreaks=0/.test(line)))
    const runsBefore = broken.runs.length
    const statuses = await Promise.all(Array.from({ length: 20 }, async (_value, index) => await order(index, 2)))
    expect([[...new Set(statuses)], broken.runs.length - runsBefore]).toEqual([[200], 0])
  })
})
