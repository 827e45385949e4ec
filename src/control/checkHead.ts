import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { createFailure } from '../common/createFailure.js'
import type { Failure } from '../common/Failure.js'
import type { ConfigHolder } from './ConfigHolder.js'
import type { PlatformHead } from './PlatformHead.js'

const nextStep = 'Restore the platform\'s store to the newest configuration; changes are refused until then.'

/**
 * Rejects a head that is missing, older than the configuration of the agents, or foreign to it.
 * `observedVersion` must be read before the head, since a newer head may be accepted while the head is read.
 */
export function checkHead ({ head }: PlatformHead, holder: ConfigHolder, observedVersion: number): Result<void, Failure> {
  const reject = (detail: string): Result<void, Failure> => err(createFailure('configRolledBack', { message: `${detail} ${nextStep}` }))
  if (head === undefined) return observedVersion === 0 ? ok(undefined) : reject(`The platform has no configuration, but agents have version ${observedVersion}.`)
  const relation = holder.compare(head)
  if (relation === 'foreign') return reject(`The platform's version ${head.version} of lineage "${head.lineage}" does not share the history of the agents' version ${holder.version}.`)
  if (head.version < observedVersion) return reject(`The platform has version ${head.version}, but agents have version ${observedVersion}.`)
  return ok(undefined)
}
