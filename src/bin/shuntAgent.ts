#!/usr/bin/env node
import '../control/limitMemory.js'

// Imported only now, so that the engine's flags hold while the modules are compiled: 60 MiB instead of 71 after the start.
const { runAgent } = await import('../control/runAgent.js')
const { createStoreServices } = await import('../../platform/createStoreServices.js')
await runAgent(createStoreServices)
