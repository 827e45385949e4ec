import { setFlagsFromString } from 'node:v8'

/**
 * Engine flags that keep the agent's memory low; import this module before all others. With seven hosts, 64 customers
 * per digest and 1,000 contracts, resident memory was 73 to 90 MiB without the flags and 62 to 67 MiB with them; both
 * took 4.3% of a core.
 */
const flags = [
  // The young generation stays at its first size instead of growing to 16 MiB.
  '--semi-space-growth-factor=1',
  // The old generation is collected after 5% of growth.
  '--heap-growing-percent=5',
  '--no-opt',
  '--no-sparkplug',
  '--max-lazy'
]

for (const flag of flags) setFlagsFromString(flag)
