import { collectDefaultMetrics, Registry } from 'prom-client'

/** Labels of every metric of a process. */
interface RegistryLabels {
  /** Name of the host. */
  readonly host: string
  /** Name of the binary. */
  readonly process: string
}

/** Creates the metric registry of a process with prom-client's default metrics (memory, CPU, event loop). */
export function createRegistry (labels: RegistryLabels): Registry {
  const registry = new Registry()
  registry.setDefaultLabels(labels)
  collectDefaultMetrics({ register: registry })
  return registry
}
