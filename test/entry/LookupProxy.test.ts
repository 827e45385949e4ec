import { createServer, request } from 'node:https'
import { test } from 'node:test'
import { expect } from 'earl'
import { GatewayFixture, credential } from './fakes.js'
import { testCertificates } from './testCertificates.js'

const address = '127.22.9.1'
const certificate = testCertificates[0]

async function requestLookup (): Promise<string> {
  return await new Promise((resolve, reject) => {
    const req = request({ host: address, port: 8_080, path: '/v1/lookup', rejectUnauthorized: false, headers: { authorization: `Bearer ${credential}` } }, (res) => {
      res.on('data', (chunk: Buffer) => resolve(`${res.statusCode} ${chunk.toString()}`))
    })
    req.on('error', reject)
    req.end()
  })
}

// Guards against lookups on the port of callers that fail if both ports use TLS.
test('a lookup is forwarded over TLS', async () => {
  const lookup = createServer(certificate, (req, res) => res.end(req.url))
  await new Promise<void>((resolve) => lookup.listen(8_083, address, resolve))
  const fixture = await new GatewayFixture(address, {}, 'h', certificate).start()
  const answer = await requestLookup()
  await fixture.stop()
  lookup.closeAllConnections()
  await new Promise((resolve) => lookup.close(resolve))
  expect(answer).toEqual('200 /v1/lookup?client=127.0.0.1')
})
