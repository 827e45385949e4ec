import type { ResultCodeRow } from './ResultCodeRow.js'

/**
 * Numbered results that callers, operators and logs can contain.
 * `docs/codes.md` prints this table and a test compares the two.
 */
export const resultCodes = {
  // Caller input
  badRequest: { code: 1001, status: 400, text: 'The request is malformed.' },
  missingCredential: { code: 1002, status: 401, text: 'No credential was sent.' },
  wrongCredential: { code: 1003, status: 401, text: 'The credential is not known.' },
  credentialThrottled: { code: 1004, status: 429, text: 'Too many wrong credentials came from this address.' },
  unknownService: { code: 1005, status: 404, text: 'No service has this path.' },
  serviceNotInContract: { code: 1006, status: 403, text: 'The contract does not include this service.' },
  badIdempotencyKey: { code: 1007, status: 400, text: 'The idempotency key is malformed.' },
  badDeadline: { code: 1008, status: 400, text: 'The deadline header is malformed.' },
  bodyTooLarge: { code: 1009, status: 413, text: 'The request body is over the limit of its class.' },
  headersTooLarge: { code: 1010, status: 431, text: 'The request headers are over the limit.' },
  requestTimeout: { code: 1011, status: 408, text: 'The request did not arrive in time.' },
  // Limits of the contract
  rateCap: { code: 2001, status: 429, text: 'The rate cap of the contract is used up.' },
  concurrencyCap: { code: 2002, status: 429, text: 'The concurrency cap of the contract is used up.' },
  queueFull: { code: 2003, status: 429, text: 'The queue of this customer is full.' },
  regionShareCap: { code: 2004, status: 429, text: 'The region share of the contract is used up.' },
  retryBudget: { code: 2005, status: 503, text: 'The retry budget of the customer is used up.' },
  quarantine: { code: 2006, status: 503, text: 'The host restarted and waits until loans that it made have run out.' },
  uploadCap: { code: 2007, status: 429, text: 'The upload bandwidth cap of the contract is used up.' },
  // Steering and capacity
  noCapacity: { code: 3001, status: 503, text: 'No endpoint that can serve the request has a free slot.' },
  noEndpoint: { code: 3002, status: 503, text: 'No endpoint of the service is reachable.' },
  deadlineExceeded: { code: 3003, status: 504, text: 'The deadline has passed.' },
  pacingLimit: { code: 3004, status: 503, text: 'More work for that region would exceed the pace of the move.' },
  linkBudget: { code: 3005, status: 503, text: 'The link budget to that region is used up.' },
  hostLeaving: { code: 3006, status: 503, text: 'The host is leaving; look up another one.' },
  shed: { code: 3007, status: 503, text: 'The request was shed to protect other work.' },
  notOwner: { code: 3008, status: 503, text: 'The host does not own an endpoint of the service.' },
  notReady: { code: 3009, status: 503, text: 'The host has no configuration yet.' },
  configUnconfirmed: { code: 3010, status: 503, text: 'The host cannot tell whether a newer configuration allows the request.' },
  // Idempotency keys
  keyRunning: { code: 4001, status: 409, text: 'A request with this key is running.' },
  keyMismatch: { code: 4002, status: 422, text: 'The key was used with another request.' },
  keyUnknown: { code: 4003, status: 409, text: 'The request with this key may have run; it will not be run again.' },
  keyHomeGone: { code: 4004, status: 409, text: 'The home of this key is gone; the key will not be run.' },
  keyHomeUnreachable: { code: 4005, status: 503, text: 'The home of this key cannot be reached.' },
  claimExpired: { code: 4006, status: 503, text: 'The claim ran out before the request was sent.' },
  // Attempts at upstreams
  upstreamRefused: { code: 5001, status: 502, text: 'The endpoint refused the connection.' },
  upstreamReset: { code: 5002, status: 502, text: 'The endpoint broke the connection.' },
  upstreamTimeout: { code: 5003, status: 504, text: 'The endpoint did not answer in time.' },
  upstreamTruncated: { code: 5004, status: 502, text: 'The answer of the endpoint was incomplete.' },
  upstreamShed: { code: 5005, status: 503, text: 'The endpoint shed the request.' },
  forwardFailed: { code: 5006, status: 502, text: 'The owning host could not be reached.' },
  forwardBroken: { code: 5007, status: 502, text: 'The connection to the owning host broke.' },
  upstreamAmbiguous: { code: 5008, status: 502, text: 'The status of the endpoint suggests that the request did not run, but the endpoint did not state so.' },
  // Configuration and operators
  contractConflict: { code: 6001, status: 409, text: 'Another operator changed the same item first.' },
  writeUnknown: { code: 6002, status: 503, text: 'The platform did not confirm the write; ask for the write id.' },
  platformUnavailable: { code: 6003, status: 503, text: 'The platform cannot be reached; nothing was changed.' },
  configRolledBack: { code: 6004, status: 503, text: 'The platform holds an older or foreign configuration.' },
  capBelowUnreachable: { code: 6005, status: 409, text: 'Hosts that cannot be reached hold more than the new cap.' },
  invalidDocument: { code: 6006, status: 422, text: 'The document is not valid.' },
  unknownItem: { code: 6007, status: 404, text: 'There is no such item.' },
  lastUpstreams: { code: 6008, status: 409, text: 'The drain would take the last upstreams of a service.' },
  noConfiguration: { code: 6009, status: 503, text: 'No configuration has been loaded yet.' },
  operatorDenied: { code: 6010, status: 401, text: 'The operator credential is missing or wrong.' },
  // Frames between processes
  frameTooLarge: { code: 7001, status: 400, text: 'A frame is over the size limit.' },
  frameInvalid: { code: 7002, status: 400, text: 'A frame cannot be decoded.' },
  frameVersion: { code: 7003, status: 400, text: 'The peer speaks another protocol version.' },
  frameAuth: { code: 7004, status: 401, text: 'The peer did not prove the cluster key.' },
  peerTimeout: { code: 7005, status: 504, text: 'The peer did not answer in time.' },
  peerUnreachable: { code: 7006, status: 503, text: 'The peer cannot be reached.' },
  // Settings
  settingsUnreadable: { code: 8001, status: 500, text: 'The settings file cannot be read.' },
  settingsInvalid: { code: 8002, status: 500, text: 'The settings file is not valid.' },
  // Internal
  internal: { code: 9001, status: 500, text: 'An unexpected error occurred.' }
} as const satisfies Record<string, ResultCodeRow>
