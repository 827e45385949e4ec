import { createHash, timingSafeEqual } from 'node:crypto'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { Clock } from '../common/Clock.js'
import { createFailure } from '../common/createFailure.js'
import { CredentialThrottle } from '../common/CredentialThrottle.js'
import type { Failure } from '../common/Failure.js'
import type { Settings } from '../config/Settings.js'

/** Authenticates operators by their credentials and throttles wrong attempts per address. */
export class OperatorAuth {
  private readonly operators: ReadonlyArray<{ name: string, hash: Buffer }>
  private readonly throttle: CredentialThrottle
  private wrongCredentials = 0

  constructor (operators: Settings['operators'], clock: Clock) {
    this.operators = operators.map(({ name, credentialHash }) => ({ name, hash: Buffer.from(credentialHash, 'hex') }))
    this.throttle = new CredentialThrottle(clock)
  }

  /** Wrong or missing credentials since the start. */
  get wrongCount (): number {
    return this.wrongCredentials
  }

  /** Returns the name of the operator with this credential. Failures: `operatorDenied`, `credentialThrottled`. */
  authenticate (credential: string | undefined, address: string): Result<string, Failure> {
    const waitMs = this.throttle.waitMs(address)
    if (waitMs > 0) return err(createFailure('credentialThrottled', { retryAfterMs: waitMs }))
    const name = credential === undefined ? undefined : this.findOperator(credential)
    if (name !== undefined) return ok(name)
    this.wrongCredentials += 1
    this.throttle.recordWrongCredential(address)
    return err(createFailure('operatorDenied', { message: 'The operator credential is missing or wrong; send "Authorization: Bearer CREDENTIAL".' }))
  }

  /** Compares the credential with those of all operators, so that the duration does not reveal which one matches. */
  private findOperator (credential: string): string | undefined {
    const hash = createHash('sha256').update(credential).digest()
    const matches = this.operators.filter((operator) => operator.hash.length === hash.length && timingSafeEqual(operator.hash, hash))
    return matches[0]?.name
  }
}
