#!/usr/bin/env node
import { runDaemon } from '../common/runDaemon.js'
import { EntryProcess } from '../entry/EntryProcess.js'

await runDaemon({
  name: 'shunt-entry',
  description: 'Forwards callers\' requests to endpoints with free capacity.',
  start: async (context) => {
    const daemon = new EntryProcess(context)
    await daemon.start()
    return daemon
  }
})
