/** Ports that every host of the soak uses. */
export const soakPorts = { front: 8_548, ready: 8_542, directory: 8_546, peers: 7_540 } as const
