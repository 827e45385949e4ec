import { createServer } from 'node:net'
import type { AddressInfo } from 'node:net'

/** Returns ports that were free a moment ago, found by opening and closing listeners. */
export async function findFreePorts (count: number): Promise<number[]> {
  const servers = Array.from({ length: count }, () => createServer())
  const ports = await Promise.all(servers.map(async (server) => {
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
    return (server.address() as AddressInfo).port
  }))
  await Promise.all(servers.map(async (server) => await new Promise((resolve) => server.close(resolve))))
  return ports
}
