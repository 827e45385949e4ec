import type { ObjectRequest } from './ObjectRequest.js'

/**
 * Returns the key of what an endpoint keeps of a request's object, or undefined when the request names none. Requests of
 * different kinds do different work, so an endpoint that has handled an object for one kind may still be new to it for another.
 */
export function createObjectKey ({ route, service, object }: ObjectRequest): string | undefined {
  return object === undefined ? undefined : `${service} ${route.kind} ${object}`
}
