import { collectDefaultMetrics, Registry } from 'prom-client'

/** Labels that every metric of a process carries. */
interface RegistryLabels {
  /** Name of the host. */
  readonly host: string
  /** Name of the binary. */
  readonly process: string
}

/** Creates the metric registry of a process with the usual process metrics (memory, CPU, event loop). */
export function createRegistry (labels: RegistryLabels): Registry {
  const registry = new Registry()
  registry.setDefaultLabels(labels)
  collectDefaultMetrics({ register: registry })
  return registry
}
