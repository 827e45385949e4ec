import { createServer } from 'node:net'

/** Returns a number of loopback addresses of this run, one for each machine of the deployment. */
export function createAddresses (count) {
  const second = 64 + process.pid % 128
  const third = Math.floor(Math.random() * 250)
  return Array.from({ length: count }, (_value, index) => `127.${second}.${third}.${index + 1}`)
}

/** Returns a first port such that it and the following ones are free on all addresses. */
export async function findFreePorts (addresses, count) {
  for (let attempt = 0; attempt < 50; attempt++) {
    const first = 21_000 + Math.floor(Math.random() * 10_000)
    if (await areFree(addresses, first, count)) return first
  }
  throw new Error('no free ports were found')
}

async function areFree (addresses, first, count) {
  for (const address of addresses) {
    for (let port = first; port < first + count; port++) if (!await isFree(address, port)) return false
  }
  return true
}

async function isFree (address, port) {
  return await new Promise((resolve) => {
    const server = createServer()
    server.once('error', () => resolve(false))
    server.listen(port, address, () => server.close(() => resolve(true)))
  })
}
