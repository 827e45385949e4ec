import type { Clock } from '../common/Clock.js'
import { DialMap } from '../common/DialMap.js'
import type { Settings } from '../config/Settings.js'
import { AgentLink } from '../control/AgentLink.js'
import type { View } from '../model/View.js'

/** Longest wait in ms for the agent; without it the wall time has to do. */
const viewTimeoutMs = 500

/**
 * Returns the incarnation for a new entry process: the wall time, or one more than the last one that the agent knows.
 * After the host's clock was set back the wall time alone could repeat an earlier incarnation.
 */
export async function chooseIncarnation (settings: Settings, clock: Clock): Promise<number> {
  const wallMs = Math.round(clock.wallMs())
  const link = new AgentLink({
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
