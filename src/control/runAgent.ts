import type { Settings } from '../config/Settings.js'
import { runDaemon } from '../common/runDaemon.js'
import { Agent } from './Agent.js'
import type { HostList } from '../platform/HostList.js'
import type { ObjectStore } from '../platform/ObjectStore.js'
import type { TableService } from '../platform/TableService.js'
import { computePortions } from '../share/computePortions.js'

/** Creates the clients of the platform's services from the settings. */
type CreateServices = (settings: Settings) => { readonly table: TableService, readonly objects: ObjectStore, readonly hosts: HostList }

/** Runs the agent of a host until it receives SIGTERM. */
export async function runAgent (createServices: CreateServices): Promise<void> {
  await runDaemon({
    name: 'shunt-agent',
    description: 'Control plane of a host: membership, configuration and the operators\' interface.',
    start: async (context) => {
      const agent = new Agent({ context, ...createServices(context.settings), computePortions })
      await agent.start()
      return agent
    }
  })
}
