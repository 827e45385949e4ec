import type { Clock } from '../common/Clock.js'
import { DialMap } from '../common/DialMap.js'
import type { Settings } from '../config/Settings.js'
import { AgentClient } from '../control/AgentClient.js'
import type { View } from '../model/View.js'

/** Maximum wait in ms for the view of the agent; after it only the wall time is used. */
const viewTimeoutMs = 500

/**
 * Returns the incarnation for a new entry process: the wall time, or the last incarnation in the view of the agent plus
 * one if that is higher. If the clock of the host was set back, the wall time alone could repeat an earlier incarnation.
 */
export async function chooseIncarnation (settings: Settings, clock: Clock): Promise<number> {
  const wallMs = Math.round(clock.wallMs())
  const link = new AgentClient({
    self: { name: settings.host, role: 'entry', incarnation: wallMs },
    address: `${settings.address}:${settings.ports.agent}`,
    clusterKey: settings.clusterKey,
    dial: new DialMap(settings.dial),
    clock,
    onRequest: () => undefined
  })
  const view = await new Promise<View | undefined>((resolve) => {
    const timer = setTimeout(() => resolve(undefined), viewTimeoutMs)
    link.once('view', (first) => {
      clearTimeout(timer)
      resolve(first)
    })
    link.start()
  })
  link.stop()
  const lastIncarnation = view?.members.find((member) => member.host === settings.host)?.digest?.entryIncarnation ?? 0
  return Math.max(wallMs, lastIncarnation + 1)
}
