import { createServer } from 'node:net'
import type { AddressInfo } from 'node:net'

const byteValues = 256
/** Second octets of loopback networks that no other test uses. */
const firstNetwork = 100
const networks = 16

/**
 * Loopback address of this test process. Outgoing connections take their ports on 127.0.0.1, so none of them takes one that
 * was found free here, and neither does another test process.
 */
const host = `127.${firstNetwork + (process.pid >> 16) % networks}.${(process.pid >> 8) % byteValues}.${process.pid % byteValues}`
const issued = new Set<string>()

/** Returns addresses `a.b.c.d:port` at which nothing listens, each one once. */
export async function findFreeAddresses (count: number): Promise<string[]> {
  const addresses: string[] = []
  while (addresses.length < count) {
    const address = await findFreeAddress()
    if (issued.has(address)) continue
    issued.add(address)
    addresses.push(address)
  }
  return addresses
}

async function findFreeAddress (): Promise<string> {
  const server = createServer()
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(0, host, resolve)
  })
  const { port } = server.address() as AddressInfo
  await new Promise((resolve) => server.close(resolve))
  return `${host}:${port}`
}
