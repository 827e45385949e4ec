import { z } from 'zod'
import { defaultPorts } from './defaultPorts.js'
import { fields } from './fields.js'

/** Schema of a host's ports; each port has a default. */
export const portsSchema = z.strictObject({
  caller: fields.port.default(defaultPorts.caller),
  internal: fields.port.default(defaultPorts.internal),
  peer: fields.port.default(defaultPorts.peer),
  lookup: fields.port.default(defaultPorts.lookup),
  agent: fields.port.default(defaultPorts.agent),
  operator: fields.port.default(defaultPorts.operator),
  entryAdmin: fields.port.default(defaultPorts.entryAdmin)
}).prefault({})
