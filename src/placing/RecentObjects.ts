import { placementLimits } from './placementLimits.js'

/** Records which objects each endpoint has recently handled for this host, the most recent last. */
export class RecentObjects {
  private readonly rows = new Map<string, Map<string, number>>()

  record (endpoint: string, object: string, nowMs: number): void {
    const objects = this.rows.get(endpoint) ?? new Map<string, number>()
    this.rows.set(endpoint, objects)
    objects.delete(object)
    objects.set(object, nowMs)
    if (objects.size <= placementLimits.maxRecentObjects) return
    const oldest = objects.keys().next()
    if (oldest.done !== true) objects.delete(oldest.value)
  }

  forget (endpoint: string, object: string): void {
    this.rows.get(endpoint)?.delete(object)
  }

  has (endpoint: string, object: string, nowMs: number): boolean {
    const handledAtMs = this.rows.get(endpoint)?.get(object)
    return handledAtMs !== undefined && nowMs - handledAtMs < placementLimits.recentObjectMs
  }

  /** Drops the endpoints that are no longer registered. */
  retain (isRegistered: (endpoint: string) => boolean): void {
    for (const endpoint of this.rows.keys()) if (!isRegistered(endpoint)) this.rows.delete(endpoint)
  }
}
