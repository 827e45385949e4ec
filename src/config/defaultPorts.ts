/** Ports of a host for which its settings or the deployment give no value. */
export const defaultPorts = {
  caller: 8080,
  internal: 8081,
  peer: 8082,
  lookup: 8083,
  agent: 8084,
  operator: 8085,
  entryAdmin: 8086
} as const
