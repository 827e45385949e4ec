import { Worker } from 'node:worker_threads'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { BlockTable } from './BlockTable.js'

type WorkerReply = { readonly data: BlockTable['data'] } | { readonly message: string }

/** Reads a block file on a thread of its own, so that look-ups go on meanwhile; fails with a message. */
export async function loadBlockTable (file: string): Promise<Result<BlockTable, string>> {
  return await new Promise((resolve) => {
    const worker = new Worker(new URL('blockWorker.js', import.meta.url), { workerData: file })
    worker.once('message', (reply: WorkerReply) => resolve('data' in reply ? ok(new BlockTable(reply.data)) : err(reply.message)))
    worker.once('error', (cause: Error) => resolve(err(`${file}: ${cause.message}`)))
    // After a message this changes nothing; without one, as when memory ran out, the caller must not wait forever.
    worker.once('exit', (code) => resolve(err(`${file}: the reader stopped with code ${code}`)))
  })
}
