const zones = ['north-a', 'north-b', 'south-a', 'south-b', 'west-a', 'west-b']

/** A service with one route for idempotent requests. */
export const quotesConfig = {
  services: { quotes: { health_path: '/health', max_connections: 390, cold_start_s: 3, cold_per_s: 5 } },
  routes: {
    read: { host: 'shop.example', prefix: '/read/', kind: 'idempotent', timeout_s: 4, target_latency_s: 1, priority: 1, service: 'quotes', max_attempts: 2 }
  }
}

/** Lists sound endpoints of the service, `perZone` in each zone. */
export function listQuotesEndpoints (perZone, serviceMs) {
  return zones.flatMap((zone) => Array.from({ length: perZone }, (_value, index) => ({
    id: `i-${zone}-${index + 1}`, service: 'quotes', zone, slots: 12, serviceMs
  })))
}
