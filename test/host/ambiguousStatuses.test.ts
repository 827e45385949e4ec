import { test } from 'node:test'
import { expect } from 'earl'
import { HostGroup } from '../support/HostGroup.js'
import { RawEndpoint } from '../support/RawEndpoint.js'
import { createRouteDoc } from '../support/createRouteDoc.js'
import { waitUntil } from '../support/waitUntil.js'

/** Longer than a response that a host holds, so that it is streamed. */
const longBodyBytes = 4_000_000

async function withGroup (statuses: readonly number[], run: (group: HostGroup) => Promise<void>, regions?: readonly string[]): Promise<void> {
  const group = await HostGroup.start(regions?.length ?? 1, 2, regions)
  try {
    for (const endpoint of group.endpoints) {
      endpoint.behaviour = 'error'
      endpoint.errorStatuses = statuses
    }
    await run(group)
  } finally {
    await group.stop()
  }
}

function countRuns (group: HostGroup): number {
  return group.endpoints.reduce((sum, { runs }) => sum + runs.length, 0)
}

for (const status of [408, 429, 503]) {
  // Guards against a promise that an order has not run, after which its caller sends it again and it runs twice (REFUSED).
  test(`an order that ran at an endpoint is not answered ${status}`, async () => {
    await withGroup([status], async (group) => {
      const answer = await group.send({ method: 'POST', path: '/order/', body: '{}' })
      const { headers } = answer
      expect([answer.status, headers['shunt-code'], headers['shunt-outcome'], headers['retry-after'], countRuns(group)]).toEqual([502, '5008', 'unknown', undefined, 1])
      // A failure with the endpoint's signature and another status than the endpoint gave breaks MIXED.
      expect([headers['x-server-signature'], answer.body.includes('done')]).toEqual([undefined, false])
    })
  })
}

// Guards against the same for uploads, and for orders on kept connections to another region.
test('an upload and an order of another region that ran are not answered 503', async () => {
  await withGroup([503], async (group) => {
    group.putConfig({ 'r-upload': createRouteDoc('/upload/', { kind: 'upload' }) })
    await group.waitUntil(() => group.logger.lines.filter((line) => line.includes('config-applied') && line.includes('routes=3')).length === 2)
    const upload = await group.send({ method: 'POST', path: '/upload/', body: 'x'.repeat(600_000) })
    await group.send({ path: '/read/1' }, 1)
    const order = await group.send({ method: 'POST', path: '/order/', body: '{}' }, 1)
    expect([upload.status, order.status]).toEqual([502, 502])
  }, ['north', 'south'])
})

// Guards against errors that are replaced although their status promises nothing, or although their request may be repeated.
test('an order\'s 500 and a read\'s 503 reach the caller unchanged', async () => {
  await withGroup([500], async (group) => {
    const order = await group.send({ method: 'POST', path: '/order/', body: '{}' })
    for (const endpoint of group.endpoints) endpoint.errorStatuses = [503]
    const read = await group.send()
    const isSigned = (signature: unknown): boolean => /^sig-e-\d$/.test(String(signature))
    expect([order.status, isSigned(order.headers['x-server-signature'])]).toEqual([500, true])
    expect([read.status, isSigned(read.headers['x-server-signature']), read.body.startsWith('done e-')]).toEqual([503, true, true])
  })
})

// Guards against a replaced response that can't be told from a broken connection, or whose status and endpoint are unknown.
test('the log and a counter tell which status was replaced', async () => {
  await withGroup([503], async (group) => {
    await group.send({ method: 'POST', path: '/order/', id: 'o-1', body: '{}' })
    const line = group.logger.lines.find((each) => each.includes('refused id=o-1')) ?? ''
    const metrics = await group.fetchFrom('metrics', '/metrics')
    expect(['endpoint=e-', 'code=upstreamAmbiguous', 'outcome=unknown', 'endpointStatus=503'].filter((field) => !line.includes(field))).toEqual([])
    expect(metrics.body.includes('shunt_responses_replaced_total{service="stock",status="503"} 1')).toEqual(true)
  })
})

// Guards against losing what an endpoint says of itself in a response that is replaced (DRAIN).
test('an endpoint that says in a replaced response that it is leaving gets no further requests', async () => {
  await withGroup([503], async (group) => {
    group.store.faults.down = 'silence'
    for (const endpoint of group.endpoints) endpoint.leaving = '1'
    for (let order = 0; order < 6; order++) await group.send({ method: 'POST', path: '/order/', object: String(order), body: '{}' })
    expect(group.endpoints.map(({ runs }) => runs.length)).toEqual([1, 1])
  })
})

// Guards against a caller that waits for the end of a long response that it doesn't get, and against a connection that stays open for it.
test('a long response that is replaced is not awaited', async () => {
  const endpoint = new RawEndpoint('e-long', (socket, head) => {
    const id = /^x-request-id: (.*)\r$/im.exec(head)?.[1] ?? ''
    if (head.startsWith('GET /health ')) socket.write('HTTP/1.1 200 OK\r\nX-Instance-Id: e-long\r\nContent-Length: 0\r\n\r\n')
    else socket.write(`HTTP/1.1 503 Failed\r\nX-Request-Id: ${id}\r\nX-Server-Signature: s\r\nContent-Length: ${longBodyBytes}\r\n\r\nx`)
  })
  const group = await HostGroup.start(1, 0)
  try {
    await group.addRawEndpoint(endpoint)
    const startMs = performance.now()
    const { status } = await group.send({ method: 'POST', path: '/order/', body: '{}' })
    expect([status, performance.now() - startMs < 500]).toEqual([502, true])
    await waitUntil(() => endpoint.closedConnections > 0)
  } finally {
    await group.stop()
  }
})
