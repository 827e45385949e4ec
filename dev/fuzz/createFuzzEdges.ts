import { EntryFuzzEdge } from './EntryFuzzEdge.js'
import type { FuzzEdge } from './FuzzEdge.js'
import { HeartbeatFuzzEdge } from './HeartbeatFuzzEdge.js'
import { LeavingFuzzEdge } from './LeavingFuzzEdge.js'
import { PageFuzzEdge } from './PageFuzzEdge.js'
import { RequestFuzzEdge } from './RequestFuzzEdge.js'
import { ResponseFuzzEdge } from './ResponseFuzzEdge.js'
import { SettingsFuzzEdge } from './SettingsFuzzEdge.js'
import { TransferFuzzEdge } from './TransferFuzzEdge.js'

/** Creates all edges that the fuzzer knows. */
export function createFuzzEdges (): Array<FuzzEdge<unknown>> {
  return [new EntryFuzzEdge(), new ResponseFuzzEdge(), new RequestFuzzEdge(), new LeavingFuzzEdge(), new HeartbeatFuzzEdge(), new PageFuzzEdge(), new TransferFuzzEdge(), new SettingsFuzzEdge()] as Array<FuzzEdge<unknown>>
}
