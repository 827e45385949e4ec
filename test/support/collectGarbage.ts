import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'

setFlagsFromString('--expose-gc')
const collect = runInNewContext('gc') as () => void

/**
 * Collects garbage. V8 frees unreachable buffers in the background after a collection and counts them until then; the second
 * collection waits for that.
 */
export function collectGarbage (): void {
  collect()
  collect()
}
