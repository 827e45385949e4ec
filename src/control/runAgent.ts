import { DialMap } from '../common/DialMap.js'
import { runDaemon } from '../common/runDaemon.js'
import { Agent } from './Agent.js'
import { HttpHostList } from '../platform/HttpHostList.js'
import { HttpObjectStore } from '../platform/HttpObjectStore.js'
import { HttpTableService } from '../platform/HttpTableService.js'
import { PlatformHttp } from '../platform/PlatformHttp.js'
import { computePortions } from '../share/computePortions.js'

/** Runs the agent of a host until SIGTERM. */
export async function runAgent (): Promise<void> {
  await runDaemon({
    name: 'shunt-agent',
    description: 'Control plane of a host: membership, configuration and the operators\' interface.',
    start: async (context) => {
      const { platform, dial } = context.settings
      const http = new PlatformHttp({ ...platform, dial: new DialMap(dial) })
      const agent = new Agent({
        context,
        table: new HttpTableService(http),
        objects: new HttpObjectStore(http),
        hosts: new HttpHostList(http),
        computePortions
      })
      await agent.start()
      return agent
    }
  })
}
