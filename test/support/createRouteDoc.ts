/** Builds an idempotent route to service `stock` as operators write it to the store; `change` overrides fields. */
export function createRouteDoc (prefix: string, change: Readonly<Record<string, unknown>> = {}): object {
  return {
    host: 'shop.example',
    prefix,
    kind: 'idempotent',
    timeout_s: 1,
    target_latency_s: 0.5,
    priority: 2,
    service: 'stock',
    max_attempts: 2,
    session_affinity: false,
    allowed_regions: [],
    ...change
  }
}
