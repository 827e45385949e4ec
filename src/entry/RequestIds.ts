import { randomBytes } from 'node:crypto'

const pattern = /^[\w.:-]{1,64}$/
const prefixBytes = 5

/** Creates request ids that are unique across processes and restarts. */
export class RequestIds {
  private readonly prefix = randomBytes(prefixBytes).toString('hex')
  private count = 0

  create (): string {
    this.count += 1
    return `${this.prefix}-${this.count}`
  }

  /** Returns the id of the caller if it is well-formed, otherwise a new one. */
  accept (id: string | undefined): string {
    return id !== undefined && pattern.test(id) ? id : this.create()
  }
}
