import type { IncomingMessage } from 'node:http'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { Failure } from '../common/Failure.js'
import { createFailure } from '../common/createFailure.js'
import { copyResponseHeaders } from './copyResponseHeaders.js'
import type { EntryState } from './EntryState.js'
import type { PipelinedResponse } from './PipelinedResponse.js'
import { RequestBody } from './RequestBody.js'
import type { UpstreamClient } from './UpstreamClient.js'

/** Dependencies of the proxy. */
interface LookupProxyOptions {
  readonly client: UpstreamClient
  /** Address of the lookup port of this host, as `a.b.c.d:port`. */
  readonly address: string
  readonly state: EntryState
}

const timeoutMs = 1_000
const noBody = new RequestBody(Buffer.alloc(0), 0, undefined, 0)

/** Forwards lookups that arrive on the port of callers to the lookup process of this host. */
export class LookupProxy {
  constructor (private readonly options: LookupProxyOptions) {}

  /** Writes the response. Returns `notReady` if the lookup process does not respond, and `internal` if the response is too long. */
  async forward (req: IncomingMessage, res: PipelinedResponse, requestId: string): Promise<Result<void, Failure>> {
    const call = this.options.client.start({
      address: this.options.address,
      method: 'GET',
      path: addClientParameter(req.url!, req.socket.remoteAddress),
      headers: ['Authorization', req.headers.authorization ?? '', 'Shunt-Request-Id', requestId],
      body: noBody,
      needsNewConnection: false,
      mayWrite: () => true,
      reserveBytes: () => 0
    })
    const timer = setTimeout(() => call.cancel('timeout'), timeoutMs)
    const reply = await call.response
    clearTimeout(timer)
    if (reply.isErr()) return err(createFailure('notReady', { message: 'The lookup process does not respond.' }))
    if (reply.value.stream !== undefined) {
      call.cancel('cancelled')
      return err(createFailure('internal', { message: 'The lookup response is too long.' }))
    }
    const { status, headers, body } = reply.value
    if (!await res.waitForTurn(body.length)) return ok()
    res.writeHead(status, [...copyLookupHeaders(headers), 'Shunt-Request-Id', requestId, ...this.options.state.responseHeaders])
    res.end(body)
    return ok()
  }
}

// The lookup process sees the address of this process, so the address of the caller is added as a parameter.
function addClientParameter (path: string, address: string | undefined): string {
  if (address === undefined || /[?&]client=/.test(path)) return path
  return `${path}${path.includes('?') ? '&' : '?'}client=${encodeURIComponent(address.replace(/^::ffff:/, ''))}`
}

// Copies the result code and outcome too, so that refusals of the lookup process keep them.
function copyLookupHeaders (headers: readonly string[]): string[] {
  const copy = copyResponseHeaders(headers)
  for (let index = 0; index < headers.length; index += 2) {
    if (/^shunt-(code|outcome)$/i.test(headers[index]!)) copy.push(headers[index]!, headers[index + 1]!)
  }
  return copy
}
