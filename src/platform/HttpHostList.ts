import { err } from 'neverthrow'
import type { Result } from 'neverthrow'
import { z } from 'zod'
import { createFailure } from '../common/createFailure.js'
import type { Failure } from '../common/Failure.js'
import { Outcome } from '../common/Outcome.js'
import { HostList } from './HostList.js'
import type { ListedHost } from './ListedHost.js'
import { parseReply } from './parseReply.js'
import type { PlatformHttp } from './PlatformHttp.js'

const listSchema = z.object({
  hosts: z.array(z.object({ name: z.string(), kind: z.enum(['entry', 'upstream']), state: z.enum(['live', 'leaving']) }))
})

/** Host list over the platform's HTTP interface. */
export class HttpHostList extends HostList {
  constructor (private readonly http: PlatformHttp) {
    super()
  }

  override async read (): Promise<Result<readonly ListedHost[], Failure>> {
    const result = await this.http.call({ method: 'GET', path: '/hosts' })
    if (result.isErr()) return err(result.error)
    const { status, body } = result.value
    if (status !== 200) return err(createFailure('platformUnavailable', { message: `the host list gave status ${status}` }))
    return parseReply(listSchema, body, { name: 'platformUnavailable', outcome: Outcome.notRun }).map(({ hosts }) => hosts)
  }
}
