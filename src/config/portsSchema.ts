import { z } from 'zod'
import { defaultPorts } from './defaultPorts.js'
import { fieldSchemas } from './fieldSchemas.js'

/** Schema of a host's ports; each port has a default. */
export const portsSchema = z.strictObject({
  caller: fieldSchemas.port.default(defaultPorts.caller),
  internal: fieldSchemas.port.default(defaultPorts.internal),
  peer: fieldSchemas.port.default(defaultPorts.peer),
  lookup: fieldSchemas.port.default(defaultPorts.lookup),
  agent: fieldSchemas.port.default(defaultPorts.agent),
  operator: fieldSchemas.port.default(defaultPorts.operator),
  entryAdmin: fieldSchemas.port.default(defaultPorts.entryAdmin)
}).prefault({})
