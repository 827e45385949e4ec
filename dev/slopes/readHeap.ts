/**
 * Returns the bytes of the heap that are in use after a collection.
 * @throws {Error} when Node.js runs without `--expose-gc`
 */
export function readHeap (): number {
  if (globalThis.gc === undefined) throw new Error('run with --expose-gc')
  globalThis.gc()
  return process.memoryUsage().heapUsed
}
