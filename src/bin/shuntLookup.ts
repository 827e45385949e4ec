#!/usr/bin/env node
import { runDaemon } from '../common/runDaemon.js'
import { LookupDaemon } from '../lookup/LookupDaemon.js'

await runDaemon({
  name: 'shunt-lookup',
  description: 'Serves lookups of the entry hosts that a caller should use.',
  start: async (context) => {
    const daemon = new LookupDaemon(context)
    await daemon.start()
    return daemon
  }
})
