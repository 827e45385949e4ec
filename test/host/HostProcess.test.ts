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

/** Lists the ids of the requests that any endpoint ran. */
function listRuns (group: HostGroup): string[] {
  return group.endpoints.flatMap((endpoint) => endpoint.runs.map((run) => run.id))
}

function setBehaviour (endpoints: readonly PlatformEndpoint[], behaviour: PlatformEndpoint['behaviour']): void {
  for (const endpoint of endpoints) endpoint.behaviour = behaviour
}

// Guards against a request that arrives altered, without its deadline, or addressed to the wrong incarnation.
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

// Guards against a host without a configuration that rejects requests permanently although the configuration may allow them.
test('without a configuration a request is refused with a short Retry-After', async () => {
  const group = await HostGroup.start(0, 1)
  group.store.faults.down = 'silence'
  await group.addHost()
  try {
    const answer = await group.send()
    expect(answer.status).toEqual(503)
    expect(Number(answer.headers['retry-after']) < 1).toEqual(true)
    expect((await group.fetchFrom('readiness', '/v1/readiness')).status).toEqual(503)
  } finally {
    await group.stop()
  }
})

// Guards against serving a request that matches no route.
test('a request without a matching route gets status 404', async () => {
  await withGroup(1, 1, async (group) => {
    expect((await group.send({ path: '/nowhere/' })).status).toEqual(404)
    expect((await group.send({ host: 'else.example' })).status).toEqual(404)
  })
})

// Guards against a request that fails although another endpoint could serve it.
test('a shed request is served by another endpoint', async () => {
  await withGroup(1, 3, async (group) => {
    group.endpoints[0]!.behaviour = 'shed'
    group.endpoints[1]!.behaviour = 'shed'
    for (let index = 0; index < 6; index++) expect((await group.send({ method: 'POST', path: '/order/', object: String(index) })).status).toEqual(200)
  })
})

// Guards against a non-idempotent request that runs twice because its answer was lost.
test('a non-idempotent request is not retried when its answer is lost', async () => {
  await withGroup(1, 3, async (group) => {
    setBehaviour(group.endpoints, 'lost')
    const answer = await group.send({ method: 'POST', path: '/order/', id: 'order-1' })
    expect(answer.status).toEqual(502)
    expect(listRuns(group)).toEqual(['order-1'])
  })
})

// Guards against an idempotent request that fails although a second endpoint would answer.
test('an idempotent request is retried when its answer is lost', async () => {
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

// Guards against forwarding an answer without a length as complete when its connection was reset.
test('a truncated answer without a length is not forwarded', async () => {
  await withGroup(1, 2, async (group) => {
    setBehaviour(group.endpoints, 'cut')
    const answer = await group.send({ method: 'POST', path: '/order/' })
    expect(answer.status).toEqual(502)
    expect(answer.headers['x-server-signature']).toEqual(undefined)
  })
})

// Guards against an endpoint's surplus answer that is forwarded as the answer to the next request.
test('a surplus answer never reaches another request', async () => {
  await withGroup(1, 1, async (group) => {
    setBehaviour(group.endpoints, 'extra')
    for (let index = 0; index < 20; index++) {
      const answer = await group.send({ id: `read-${index}` })
      expect(answer.status === 200 ? answer.headers['x-request-id'] : `read-${index}`).toEqual(`read-${index}`)
    }
  })
})

// Guards against callers that wait longer than the timeout of their route.
test('a request to an unresponsive endpoint times out', async () => {
  await withGroup(1, 1, async (group) => {
    setBehaviour(group.endpoints, 'silent')
    const startMs = performance.now()
    const answer = await group.send({ method: 'POST', path: '/order/' })
    expect(answer.status).toEqual(504)
    expect(performance.now() - startMs < 1_400).toEqual(true)
  })
})

// Guards against an address that has been reassigned to another service.
test('an endpoint at a reassigned address runs no request meant for another', async () => {
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

// Guards against new requests to an endpoint that has announced its departure.
test('a draining endpoint receives no new requests', async () => {
  await withGroup(1, 2, async (group) => {
    const leaving = group.endpoints[0]!
    group.store.tables.put('servers', 'e-0', leaving.describe('stock', 'north-a', { state: 'draining' }))
    await group.waitUntil(() => group.logger.lines.some((line) => line.includes('draining=1')))
    for (let index = 0; index < 20; index++) await group.send({ object: String(index) })
    expect(leaving.runs.length).toEqual(0)
  })
})

// Guards against requests to a zone that the operator has evacuated.
test('an evacuated zone receives no requests', async () => {
  await withGroup(1, 2, async (group) => {
    group.store.tables.put('op', 'evacuate/north-a', {})
    await group.waitUntil(() => group.logger.lines.some((line) => line.includes('zone-evacuated')))
    expect((await group.send()).status).toEqual(503)
    group.store.tables.remove('op', 'evacuate/north-a')
    await group.waitUntil(() => group.logger.lines.filter((line) => line.includes('endpoint-up')).length === 2)
    expect((await group.send()).status).toEqual(200)
  })
})

// Guards against a host that keeps an old configuration because the store rejects its calls.
test('a host receives from its peers what it cannot read from the store', async () => {
  await withGroup(2, 1, async (group) => {
    await group.waitUntil(() => group.logger.lines.filter((line) => line.includes('peer-up')).length >= 2)
    group.store.tables.truncateHistory()
    group.putConfig({ 'r-new': { host: 'shop.example', prefix: '/new/', kind: 'idempotent', timeout_s: 1, service: 'stock', max_attempts: 1 } })
    for (const host of [0, 1]) {
      for (let tries = 0; (await group.send({ path: '/new/' }, host)).status !== 200; tries++) {
        expect(tries < 200).toEqual(true)
        await new Promise((resolve) => setTimeout(resolve, 20))
      }
    }
  })
})

// Guards against a host that starts while the store is down and serves nothing although its peers have all tables.
test('a host that starts during a store outage receives the tables from its peers', async () => {
  await withGroup(1, 1, async (group) => {
    group.store.faults.down = 'reset'
    await group.addHost()
    await group.waitUntil(() => group.hosts.every((host) => host.isReady))
    expect((await group.send({}, 1)).status).toEqual(200)
  })
})

// Guards against a store outage that interrupts traffic.
test('traffic continues while the store is unavailable', async () => {
  await withGroup(1, 2, async (group) => {
    group.store.faults.down = 'busy'
    await group.waitUntil(() => group.logger.lines.some((line) => line.includes('store-lost')))
    expect((await group.send()).status).toEqual(200)
  })
})

// Guards against a planned stop that aborts a request, and against lookups that still return the host.
test('a planned stop answers the requests that were received before it', async () => {
  await withGroup(1, 1, async (group) => {
    group.endpoints[0]!.serviceMs = 600
    const slow = group.send({ path: '/read/slow' })
    await group.waitUntil(() => group.endpoints[0]!.runs.length === 1)
    const stopped = group.hosts[0]!.stop()
    expect((await group.fetchFrom('readiness', '/v1/readiness')).status).toEqual(503)
    expect((await group.fetchFrom('directory', '/v1/resolve?name=x&region=north&zone=north-a')).status).toEqual(503)
    const answer = await slow
    expect(answer.status).toEqual(200)
    expect(answer.headers.connection).toEqual('close')
    await stopped
  })
})

// Guards against endpoints that continue to process a request whose caller has disconnected.
test('a request is aborted when its caller disconnects', async () => {
  await withGroup(1, 1, async (group) => {
    group.endpoints[0]!.behaviour = 'silent'
    const socket = group.connect()
    socket.write('GET /read/1 HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: gone\r\nX-Deadline-Ms: 1000\r\n\r\n')
    await group.waitUntil(() => group.endpoints[0]!.runs.length === 1)
    socket.destroy()
    await group.waitUntil(() => group.logger.lines.some((line) => line.includes('caller-left')))
  })
})

// Guards against directing callers to hosts that don't serve.
test('the directory lists the serving hosts', async () => {
  await withGroup(2, 1, async (group) => {
    const named = async (): Promise<string[]> => {
      const answer = await group.fetchFrom('directory', '/v1/resolve?name=x&region=north&zone=north-a')
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

// Guards against failures that can't be traced by the request id.
test('a refusal is logged with the id, its reason and the configuration', async () => {
  await withGroup(1, 1, async (group) => {
    setBehaviour(group.endpoints, 'shed')
    await group.send({ id: 'wanted-id' })
    const line = group.logger.lines.find((text) => text.includes('id=wanted-id'))!
    expect(line.includes('refused')).toEqual(true)
    expect(line.includes('config=1')).toEqual(true)
    expect(line.includes('endpoint=e-0')).toEqual(true)
    const metrics = await group.fetchFrom('metrics', '/metrics')
    expect(metrics.body.includes('shunt_refused_total')).toEqual(true)
  })
})

// Guards against requests that exceed the limits of the configuration.
test('oversized headers and bodies are refused', async () => {
  await withGroup(1, 1, async (group) => {
    expect((await group.send({ object: 'x'.repeat(17_000) })).status).toEqual(431)
    expect((await group.send({ method: 'POST', path: '/order/', body: 'x'.repeat(1_000_001) })).status).toEqual(413)
    expect(listRuns(group)).toEqual([])
  })
})

// Guards against a broken endpoint that each host detects only by failing requests of its own callers.
test('a host avoids an endpoint that other hosts report as broken', async () => {
  await withGroup(3, 3, async (group) => {
    const [broken] = group.endpoints as [PlatformEndpoint]
    broken.behaviour = 'lost'
    const order = async (index: number, host: number): Promise<number> =>
      (await group.send({ method: 'POST', path: '/order/1', body: 'x', object: String(index) }, host)).status
    for (let index = 0; index < 20; index++) await order(index, index % 2)
    await group.waitUntil(() => group.logger.lines.some((line) => /endpoint-reported endpoint=e-0 hosts=2 breaks=\d+ ownBreaks=0/.test(line)))
    const runsBefore = broken.runs.length
    const statuses = await Promise.all(Array.from({ length: 20 }, async (_value, index) => await order(index, 2)))
    expect([[...new Set(statuses)], broken.runs.length - runsBefore]).toEqual([[200], 0])
  })
})
