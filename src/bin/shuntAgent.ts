#!/usr/bin/env node
import '../control/limitMemory.js'

// Imported after `limitMemory`, so that the engine flags apply while these modules are compiled: 60 MiB instead of 71 MiB after startup.
const { runAgent } = await import('../control/runAgent.js')
const { createStoreServices } = await import('../../platform/createStoreServices.js')
await runAgent(createStoreServices)
