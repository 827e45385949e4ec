import { randomBytes } from 'node:crypto'

const pattern = /^[\w.:-]{1,64}$/
const prefixBytes = 5

/** Makes request ids that are unique over processes and restarts. */
export class RequestIds {
  private readonly prefix = randomBytes(prefixBytes).toString('hex')
  private count = 0

  create (): string {
    this.count += 1
    return `${this.prefix}-${this.count}`
  }

  /** Uses the caller's id when it is well-formed. */
  accept (id: string | undefined): string {
    return id !== undefined && pattern.test(id) ? id : this.create()
  }
}
