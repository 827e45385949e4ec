import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { createFailure } from '../common/createFailure.js'
import type { Failure } from '../common/Failure.js'
import type { ConfigHolder } from './ConfigHolder.js'
import type { PlatformHead } from './PlatformHead.js'

const nextStep = 'Restore the platform\'s store to the newest configuration; changes are refused until then.'

/**
 * Refuses a head that is missing, older or foreign compared with what agents hold.
 * `heardVersion` must be taken before the head was read, since a newer head may be accepted during the read.
 */
export function checkHead ({ head }: PlatformHead, holder: ConfigHolder, observedVersion: number): Result<void, Failure> {
  const reject = (detail: string): Result<void, Failure> => err(createFailure('configRolledBack', { message: `${detail} ${nextStep}` }))
  if (head === undefined) return observedVersion === 0 ? ok(undefined) : reject(`The platform has no configuration, agents hold version ${observedVersion}.`)
  const relation = holder.compare(head)
  if (relation === 'foreign') return reject(`The platform holds version ${head.version} of lineage "${head.lineage}" by another history than the agents' version ${holder.version}.`)
  if (head.version < observedVersion) return reject(`The platform holds version ${head.version}, agents hold version ${observedVersion}.`)
  return ok(undefined)
}
