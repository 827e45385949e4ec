import type { SelectionRequest } from './SelectionRequest.js'

/** The parts of a request that determine the object and the work that is done for it. */
export type ObjectRequest = Pick<SelectionRequest, 'route' | 'service' | 'object'>
