import { hash, timingSafeEqual } from 'node:crypto'
import type { IncomingMessage } from 'node:http'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { createFailure } from '../common/createFailure.js'
import type { CredentialThrottle } from '../common/CredentialThrottle.js'
import type { Failure } from '../common/Failure.js'
import type { ConfigDoc } from '../model/ConfigDoc.js'
import type { Contract } from '../model/Contract.js'

/** A credential that the configuration accepts. */
interface CredentialRow {
  readonly contract: Contract
  readonly digest: Buffer
}

const bearerPattern = /^Bearer ([\x21-\x7e]{1,512})$/i

/**
 * Finds the contract of a request by the SHA-256 digest of its credential. An address with too many wrong credentials
 * is refused without a check, except on connections on which the same credential was accepted before.
 */
export class Authenticator {
  private rows: ReadonlyMap<string, CredentialRow> = new Map()
  private readonly proven = new WeakMap<object, string>()

  constructor (private readonly throttle: CredentialThrottle) {}

  setConfig (doc: ConfigDoc): void {
    const rows = doc.contracts.flatMap((contract) => contract.credentialHashes.map((text): [string, CredentialRow] => [
      text.toLowerCase(), { contract, digest: Buffer.from(text, 'hex') }
    ]))
    this.rows = new Map(rows)
  }

  /** Returns the contract. Failures: `missingCredential`, `wrongCredential`, `credentialThrottled`. */
  check (req: IncomingMessage, authorization: string | undefined): Result<Contract, Failure> {
    const credential = bearerPattern.exec(authorization ?? '')?.[1]
    if (credential === undefined) return err(createFailure('missingCredential'))
    const text = hash('sha256', credential, 'hex')
    const address = req.socket.remoteAddress ?? ''
    const waitMs = this.throttle.waitMs(address)
    if (waitMs > 0 && this.proven.get(req.socket) !== text) return err(createFailure('credentialThrottled', { retryAfterMs: waitMs }))
    const contract = this.find(text)
    if (contract === undefined) {
      this.throttle.recordWrongCredential(address)
      return err(createFailure('wrongCredential'))
    }
    if (this.proven.get(req.socket) !== text) this.proven.set(req.socket, text)
    return ok(contract)
  }

  // The lookup uses the digest, so its timing reveals nothing about accepted credentials.
  private find (text: string): Contract | undefined {
    const row = this.rows.get(text)
    return row !== undefined && timingSafeEqual(row.digest, Buffer.from(text, 'hex')) ? row.contract : undefined
  }
}
