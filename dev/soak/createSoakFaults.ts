import { EndpointBehaviourFault } from './EndpointBehaviourFault.js'
import { EndpointEndFault } from './EndpointEndFault.js'
import { EvacuationFault } from './EvacuationFault.js'
import { HostEndFault } from './HostEndFault.js'
import { HostPauseFault } from './HostPauseFault.js'
import { LinkFault } from './LinkFault.js'
import { RouteFault } from './RouteFault.js'
import { SettingsFault } from './SettingsFault.js'
import type { SoakFault } from './SoakFault.js'
import { StoreFault } from './StoreFault.js'

/** All kinds of faults that a run draws from. */
export function createSoakFaults (): SoakFault[] {
  return [
    new HostEndFault('SIGKILL', 1, 4),
    new HostEndFault('SIGKILL', 3, 1),
    new HostEndFault('SIGTERM', 1, 4),
    new HostEndFault('SIGTERM', 2, 1),
    new HostPauseFault(),
    new SettingsFault(),
    new StoreFault('store-busy', { down: 'busy' }),
    new StoreFault('store-silent', { down: 'silence' }),
    new StoreFault('store-reset', { down: 'reset' }),
    new StoreFault('store-slow', { delayMs: 300 }),
    new StoreFault('store-loses-answers', { losesWriteAnswers: true }),
    new StoreFault('store-forgets', {}, true),
    new LinkFault('link-delay', 2, { extraDelayMs: 80 }),
    new LinkFault('link-reset', 2, { cut: true }),
    new LinkFault('link-silent', 2, { silentForward: true, silentBackward: true }),
    new LinkFault('link-no-answers', 2, { silentBackward: true }),
    new LinkFault('link-no-requests', 2, { silentForward: true }),
    ...(['shed', 'lost', 'error', 'cut', 'extra', 'silent', 'forgetful'] as const).map((behaviour) => new EndpointBehaviourFault(behaviour)),
    new EndpointEndFault(true),
    new EndpointEndFault(false),
    new RouteFault(),
    new EvacuationFault()
  ]
}
