import { parentPort, workerData } from 'node:worker_threads'
import { readBlockFile } from './readBlockFile.js'

// Worker thread of `loadBlockTable`: reads the file whose path is in `workerData` and transfers the table's arrays without a copy.
const result = await readBlockFile(workerData as string)
if (result.isErr()) {
  parentPort?.postMessage({ message: result.error })
} else {
  const { data } = result.value
  parentPort?.postMessage({ data }, [data.groupStarts.buffer, data.intervalLows.buffer, data.intervalSites.buffer] as ArrayBuffer[])
}
