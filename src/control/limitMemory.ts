import { setFlagsFromString } from 'node:v8'

/**
 * Engine flags that limit the agent's memory; import this module before all others. With seven hosts, 64 customers per
 * digest and 1,000 contracts, resident memory is 62 to 67 MiB with the flags instead of 73 to 90 MiB; processor use is
 * 4.3% of a core either way.
 */
const flags = [
  // The young generation keeps its initial size instead of growing to 16 MiB.
  '--semi-space-growth-factor=1',
  // The old generation is collected when it has grown by 5%.
  '--heap-growing-percent=5',
  '--no-opt',
  '--no-sparkplug',
  '--max-lazy'
]

for (const flag of flags) setFlagsFromString(flag)
