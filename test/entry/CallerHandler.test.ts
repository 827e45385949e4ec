import { after, before, test } from 'node:test'
import { expect } from 'earl'
import { GatewayFixture, call, credential, sendRaw } from './fakes.js'

const address = '127.22.1.1'
const fixture = new GatewayFixture(address, { headersTimeoutMs: 500 })
const head = `Host: x\r\nAuthorization: Bearer ${credential}\r\n`

before(async () => {
  await fixture.start()
  await fixture.startUpstream(9_001, (req, res) => {
    req.resume()
    res.setHeader('Upstream-Load', 'used=1;slots=4;state=ready')
    req.on('end', () => res.end(JSON.stringify({ method: req.method, url: req.url, headers: req.headers })))
  })
})
after(async () => await fixture.stop())

// Guards against a data path that loses the request, its headers or the response.
test('a read and a write reach the endpoint', async () => {
  const read = await call(address, '/stock/items?a=%20b', { headers: { 'x-a': '1', 'shunt-request-id': 'id-1' } })
  const seen = JSON.parse(read.body)
  expect([read.status, read.headers['shunt-request-id'], seen.url, seen.headers['x-a']]).toEqual([200, 'id-1', '/stock/items?a=%20b', '1'])
  expect([seen.headers.authorization, seen.headers['shunt-customer'], read.headers['upstream-load']]).toEqual([undefined, 'a', undefined])
  const write = await call(address, '/orders', { method: 'POST', body: '{}', headers: { 'idempotency-key': 'k1' } })
  expect([write.status, JSON.parse(write.body).headers['idempotency-key'], fixture.claims.settled]).toEqual([200, 'k1', ['done']])
  expect(fixture.steering.reports).toEqual(['e9001 1 false', 'e9001 1 false'])
})

const badRequests: Array<[name: string, text: string, code: number]> = [
  ['two lengths', `POST /stock HTTP/1.1\r\n${head}Content-Length: 1\r\nContent-Length: 2\r\n\r\nab`, 1001],
  ['chunked with a length', `POST /stock HTTP/1.1\r\n${head}Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n`, 1001],
  ['an unknown transfer encoding', `POST /stock HTTP/1.1\r\n${head}Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n`, 1001],
  ['no host', `GET /stock HTTP/1.1\r\nAuthorization: Bearer ${credential}\r\n\r\n`, 1001],
  ['two credentials', `GET /stock HTTP/1.1\r\n${head}Authorization: Bearer x\r\n\r\n`, 1001],
  ['no credential', 'GET /stock HTTP/1.1\r\nHost: x\r\n\r\n', 1002],
  ['a wrong credential', 'GET /stock HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer x\r\n\r\n', 1003],
  ['an unknown path', `GET /nothing HTTP/1.1\r\n${head}\r\n`, 1005],
  ['a service of others', `GET /other HTTP/1.1\r\n${head}\r\n`, 1006],
  ['a key with a space', `POST /orders HTTP/1.1\r\n${head}Idempotency-Key: a b\r\n\r\n`, 1007],
  ['two keys', `POST /orders HTTP/1.1\r\n${head}Idempotency-Key: a\r\nIdempotency-Key: b\r\n\r\n`, 1007],
  ['an empty key', `POST /orders HTTP/1.1\r\n${head}Idempotency-Key:\r\n\r\n`, 1007],
  ['dot segments', `GET /stock/../orders HTTP/1.1\r\n${head}\r\n`, 1001],
  ['escaped dot segments', `GET /stock/%2e%2E/orders HTTP/1.1\r\n${head}\r\n`, 1001],
  ['an encoded slash', `GET /stock/a%2Fb HTTP/1.1\r\n${head}\r\n`, 1001],
  ['a backslash', `GET /stock/a\\b HTTP/1.1\r\n${head}\r\n`, 1001],
  ['an empty segment', `GET //stock HTTP/1.1\r\n${head}\r\n`, 1001],
  ['an absolute target', `GET http://x/stock HTTP/1.1\r\n${head}\r\n`, 1001],
  ['a broken escape', `GET /stock/%zz HTTP/1.1\r\n${head}\r\n`, 1001],
  ['invalid UTF-8 in the path', `GET /stock/%ff%fe HTTP/1.1\r\n${head}\r\n`, 1001],
  ['invalid UTF-8 in a header', `GET /stock HTTP/1.1\r\n${head}X-A: \xff\xfe\r\n\r\n`, 1001],
  ['a malformed deadline', `GET /stock HTTP/1.1\r\n${head}Shunt-Deadline-Ms: soon\r\n\r\n`, 1008],
  ['a past deadline', `GET /stock HTTP/1.1\r\n${head}Shunt-Deadline-Ms: 0\r\n\r\n`, 3003],
  ['a body over the limit', `POST /stock HTTP/1.1\r\n${head}Content-Length: 65537\r\n\r\n`, 1009],
  ['a chunked body over the limit', `POST /stock HTTP/1.1\r\n${head}Transfer-Encoding: chunked\r\n\r\n10001\r\n${'x'.repeat(65_537)}\r\n0\r\n\r\n`, 1009],
  ['headers over the limit', `GET /stock HTTP/1.1\r\n${head}X-A: ${'x'.repeat(20_000)}\r\n\r\n`, 1010],
  ['too many headers', `GET /stock HTTP/1.1\r\n${head}${'a: b\r\n'.repeat(300)}\r\n`, 1010],
  ['headers that never end', 'GET /stock HTTP/1.1\r\nHost: x\r\n', 1011],
  ['another expectation', `GET /stock HTTP/1.1\r\n${head}Expect: tea\r\n\r\n`, 1001],
  ['no HTTP', 'hello\r\n\r\n', 1001]
]

for (const [name, text, code] of badRequests) {
  // Guards against ambiguous input that programs parse differently, and against refusals without a result code.
  test(`refused: ${name}`, async () => {
    const answer = await sendRaw(address, text.replace('\r\n\r\n', '\r\nConnection: close\r\n\r\n'))
    expect(answer).toInclude(`Shunt-Code: ${code}\r\n`)
    const body = JSON.parse(answer.slice(answer.indexOf('\r\n\r\n') + 4))
    expect([body.code, typeof body.requestId, body.outcome]).toEqual([code, 'string', 'not-run'])
  })
}

// Guards against refusals without the retry time or the outcome.
test('a refused admission is reported with code, outcome and retry time', async () => {
  fixture.admission.refuse = 'rateCap'
  const answer = await call(address, '/stock')
  expect([answer.status, answer.headers['retry-after'], answer.headers['shunt-code'], answer.headers['shunt-outcome']]).toEqual([429, '2', '2001', 'not-run'])
  expect(JSON.parse(answer.body).retryAfterMs).toEqual(1_500)
  const keyed = await call(address, '/orders', { method: 'POST', headers: { 'idempotency-key': 'k2' } })
  expect(keyed.headers['shunt-outcome']).toEqual('unknown')
  fixture.admission.refuse = undefined
})

// Guards against a final refusal for what a newer configuration allows, of a path, a contract or a credential (issue 44).
test('nothing is refused for good while another host has a newer configuration', async () => {
  const view = { seq: 1, contactAgeMs: 0, configVersion: 1_000, isFirstStart: false, members: [], leavingEndpoints: [], leavingHosts: [] }
  const calls = async (): Promise<unknown[]> => [
    (await call(address, '/nothing')).headers['shunt-code'],
    (await call(address, '/other')).headers['shunt-code'],
    (await call(address, '/stock', { headers: { authorization: 'Bearer x' } })).headers['shunt-code']
  ]
  fixture.gateway.setView(view)
  expect(await calls()).toEqual(['3010', '3010', '3010'])
  fixture.gateway.setView({ ...view, configVersion: 0 })
  expect(await calls()).toEqual(['1005', '1006', '1003'])
})
