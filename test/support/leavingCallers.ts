import { connect } from 'node:net'
import type { Socket } from 'node:net'
import { workerData } from 'node:worker_threads'

/** Requests of callers that leave; `state[0]` becomes 1 when all have left. */
interface LeavingCallers {
  readonly address: string
  /** One caller for each text, which is all that it sends. */
  readonly requests: readonly string[]
  /** Time in ms for which a caller waits. */
  readonly waitMs: number
  readonly state: Int32Array
}

const { address, requests, waitMs, state } = workerData as LeavingCallers
const [host, port] = address.split(':')

async function open (text: string): Promise<Socket> {
  return await new Promise((resolve, reject) => {
    const socket = connect(Number(port), host!, () => socket.write(text, () => resolve(socket)))
    socket.once('error', reject)
  })
}

// Runs beside a thread that stands still, as the callers of a host whose process has no time.
const sockets = await Promise.all(requests.map(open))
await new Promise((resolve) => setTimeout(resolve, waitMs))
await Promise.all(sockets.map(async (socket) => await new Promise((resolve) => socket.once('close', resolve).destroy())))
Atomics.store(state, 0, 1)
Atomics.notify(state, 0)
