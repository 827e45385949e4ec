import { createHash, timingSafeEqual } from 'node:crypto'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { Clock } from '../common/Clock.js'
import { createFailure } from '../common/createFailure.js'
import type { Failure } from '../common/Failure.js'
import { Table } from '../common/Table.js'
import type { Settings } from '../config/Settings.js'

/** Wrong credentials from one address in the current window. */
interface WrongTries {
  count: number
  windowStartMs: number
}

const maxWrongTries = 10
const windowMs = 60_000
// Bounds the memory that an attacker with many addresses can use.
const maxAddresses = 1_024
const bearer = /^Bearer ([\x21-\x7e]{1,512})$/i

/** Finds the operator of a bearer credential, and slows down guessing per address. */
export class OperatorAuth {
  private readonly operators: ReadonlyArray<{ name: string, hash: Buffer }>
  private readonly wrongTries = new Table<WrongTries>()
  private wrong = 0

  constructor (operators: Settings['operators'], private readonly clock: Clock) {
    this.operators = operators.map(({ name, credentialHash }) => ({ name, hash: Buffer.from(credentialHash, 'hex') }))
  }

  /** Wrong or missing credentials since the start. */
  get wrongCount (): number {
    return this.wrong
  }

  /** Returns the operator's name. Failures: `operatorDenied`, `credentialThrottled`. */
  check (authorization: string | undefined, address: string): Result<string, Failure> {
    const waitMs = this.findWaitMs(address)
    if (waitMs > 0) return err(createFailure('credentialThrottled', { retryAfterMs: waitMs }))
    const credential = bearer.exec(authorization ?? '')?.[1]
    const name = credential === undefined ? undefined : this.find(credential)
    if (name !== undefined) return ok(name)
    this.countWrong(address)
    return err(createFailure('operatorDenied', { message: 'The operator credential is missing or wrong; send "Authorization: Bearer CREDENTIAL".' }))
  }

  /** Compares with every operator, so that the time does not depend on which one matches. */
  private find (credential: string): string | undefined {
    const hash = createHash('sha256').update(credential).digest()
    const matches = this.operators.filter((operator) => operator.hash.length === hash.length && timingSafeEqual(operator.hash, hash))
    return matches[0]?.name
  }

  private findWaitMs (address: string): number {
    const tries = this.wrongTries.get(address)
    if (tries === undefined || tries.count < maxWrongTries) return 0
    return Math.max(0, tries.windowStartMs + windowMs - this.clock.nowMs())
  }

  private countWrong (address: string): void {
    const nowMs = this.clock.nowMs()
    this.wrong += 1
    if (this.wrongTries.size >= maxAddresses) this.wrongTries.deleteWhere(({ windowStartMs }) => windowStartMs + windowMs <= nowMs)
    if (this.wrongTries.size >= maxAddresses) return
    const tries = this.wrongTries.ensure(address, () => ({ count: 0, windowStartMs: nowMs }))
    if (tries.windowStartMs + windowMs <= nowMs) Object.assign(tries, { count: 0, windowStartMs: nowMs })
    tries.count += 1
  }
}
