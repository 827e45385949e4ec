#!/usr/bin/env node
import { runDaemon } from '../common/runDaemon.js'
import { LookupDaemon } from '../lookup/LookupDaemon.js'

await runDaemon({
  name: 'shunt-lookup',
  description: 'Tells callers which entry hosts to use.',
  start: async (context) => {
    const daemon = new LookupDaemon(context)
    await daemon.start()
    return daemon
  }
})
