/** Ports of the stand-ins of a cluster. */
export const clusterPorts = { platform: 8070, platformControl: 8071, upstreamControl: 8072, proxyControl: 8073 } as const
