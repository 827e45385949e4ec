import * as fc from 'fast-check'
import { mostly } from './mostly.js'

/** The record of a host as other hosts forward it, with odd fields at times. */
export const forwardedHost = fc.record({
  name: mostly(fc.constant('h-2')),
  zone: mostly(fc.constant('north-a')),
  region: mostly(fc.constant('north')),
  callerAddress: mostly(fc.constant('10.0.0.1:1')),
  peerAddress: mostly(fc.constant('10.0.0.1:2')),
  linkMbps: mostly(fc.nat(10)),
  incarnation: mostly(fc.nat(10))
})
