import { Worker } from 'node:worker_threads'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { BlockTable } from './BlockTable.js'

type WorkerReply = { readonly data: BlockTable['data'] } | { readonly message: string }

/** Reads a block file in a worker thread, so that lookups are not blocked; fails with a message. */
export async function loadBlockTable (file: string): Promise<Result<BlockTable, string>> {
  return await new Promise((resolve) => {
    const worker = new Worker(new URL('blockWorker.js', import.meta.url), { workerData: file })
    worker.once('message', (reply: WorkerReply) => resolve('data' in reply ? ok(new BlockTable(reply.data)) : err(reply.message)))
    worker.once('error', (cause: Error) => resolve(err(`${file}: ${cause.message}`)))
    // Has no effect after a message. Without one, for example when the thread ran out of memory, the promise must still settle.
    worker.once('exit', (code) => resolve(err(`${file}: the worker thread exited with code ${code}`)))
  })
}
