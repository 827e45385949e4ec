import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { Agent, request } from 'node:https'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import type { TLSSocket } from 'node:tls'
import { after, test } from 'node:test'
import { expect } from 'earl'
import { TlsReloader } from '../../src/entry/TlsReloader.js'
import { GatewayFixture, credential, pause, QuietLogger } from './fakes.js'
import { testCertificates } from './testCertificates.js'

const address = '127.22.6.1'
const folder = mkdtempSync(join(tmpdir(), 'shunt-tls-'))
const files = { certFile: join(folder, 'cert.pem'), keyFile: join(folder, 'key.pem') }
after(() => rmSync(folder, { recursive: true }))

function write (index: 0 | 1): void {
  writeFileSync(files.certFile, testCertificates[index].cert)
  writeFileSync(files.keyFile, testCertificates[index].key)
}

/** Returns the body and the name in the certificate of the connection that was used. */
async function fetchStock (agent: Agent): Promise<string> {
  return await new Promise((resolve, reject) => {
    const req = request({ host: address, port: 8_080, path: '/stock', agent, headers: { authorization: `Bearer ${credential}` } }, (res) => {
      const { CN } = (res.socket as TLSSocket).getPeerCertificate().subject
      res.on('data', (chunk: Buffer) => resolve(`${CN} ${chunk.toString()}`))
    })
    req.on('error', reject)
    req.end()
  })
}

// Guards against a replaced certificate that stays in use, and connections that the replacement closes.
test('a changed certificate is used for new connections only', async () => {
  write(0)
  const reloader = new TlsReloader(files, new QuietLogger())
  const fixture = await new GatewayFixture(address, {}, 'h', reloader.load()).start()
  await fixture.startUpstream(9_001, (_req, res) => res.end('whole'))
  reloader.start((material) => fixture.gateway.callerServer.replaceCertificate(material))
  const kept = new Agent({ keepAlive: true, rejectUnauthorized: false, maxSockets: 1 })
  const before = await fetchStock(kept)
  writeFileSync(files.keyFile, testCertificates[1].key)
  await pause(1_100)
  const halfWay = await fetchStock(new Agent({ rejectUnauthorized: false }))
  write(1)
  await pause(1_200)
  const after = [await fetchStock(kept), await fetchStock(new Agent({ rejectUnauthorized: false }))]
  expect([before, halfWay, after]).toEqual(['test-1 whole', 'test-1 whole', ['test-1 whole', 'test-2 whole']])
  kept.destroy()
  reloader.stop()
  await fixture.stop()
})
