import { CommonSilenceFault } from './CommonSilenceFault.js'
import { ConfigGrowthFault } from './ConfigGrowthFault.js'
import { EndpointBehaviourFault } from './EndpointBehaviourFault.js'
import { EndpointRestartFault } from './EndpointRestartFault.js'
import { EndpointShutdownFault } from './EndpointShutdownFault.js'
import { EvacuationFault } from './EvacuationFault.js'
import { HostShutdownFault } from './HostShutdownFault.js'
import { HostPauseFault } from './HostPauseFault.js'
import { LinkFault } from './LinkFault.js'
import { RouteFault } from './RouteFault.js'
import { RouteMoveFault } from './RouteMoveFault.js'
import { SettingsFault } from './SettingsFault.js'
import type { SoakFault } from './SoakFault.js'
import type { SoakOptions } from './SoakOptions.js'
import { StoreFault } from './StoreFault.js'

/** Kinds of faults that come only when they are asked for. */
type OptionalFaults = Pick<SoakOptions, 'silencesConnections' | 'growsConfig' | 'restartsEndpoints'>

/**
 * Creates all kinds of faults from which a run draws. Connections that fall silent for good, and what is checked beside them,
 * configurations that grow, and endpoints that restart at once come only when they are asked for, so that the seeds of earlier runs
 * still draw the same faults.
 */
export function createSoakFaults ({ silencesConnections = false, growsConfig = false, restartsEndpoints = false }: OptionalFaults): SoakFault[] {
  return [
    ...(silencesConnections ? createSilenceFaults() : []),
    ...(growsConfig ? [new ConfigGrowthFault()] : []),
    ...(restartsEndpoints ? [new EndpointRestartFault()] : []),
    new HostShutdownFault('SIGKILL', 1, 4),
    new HostShutdownFault('SIGKILL', 3, 1),
    new HostShutdownFault('SIGTERM', 1, 4),
    new HostShutdownFault('SIGTERM', 2, 1),
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
    new EndpointShutdownFault('leave'),
    new EndpointShutdownFault('crash'),
    new RouteFault(),
    new EvacuationFault()
  ]
}

function createSilenceFaults (): SoakFault[] {
  return [
    new LinkFault('connections-silent', 8, { silencesOpen: true }),
    new CommonSilenceFault(),
    new RouteMoveFault(),
    new EndpointShutdownFault('withdraw')
  ]
}
