import type { ClientRequest } from 'node:http'
import { entryLimits } from './entryLimits.js'

/** Calls `onExceeded` when an endpoint sends too many interim responses (1xx) to a request; each one costs processor time. */
export function limitInterimResponses (req: ClientRequest, onExceeded: () => void): void {
  let responses = 0
  req.on('information', () => {
    responses += 1
    if (responses === entryLimits.maxInterimResponses + 1) onExceeded()
  })
}
