import { test } from 'node:test'
import { expect } from 'earl'
import { err } from 'neverthrow'
import { createFailure } from '../../src/common/createFailure.js'
import { Outcome } from '../../src/common/Outcome.js'
import type { ResultName } from '../../src/common/ResultName.js'
import { SystemClock } from '../../src/common/SystemClock.js'
import { AttemptLoop } from '../../src/entry/AttemptLoop.js'
import { InternalAuth } from '../../src/entry/InternalAuth.js'
import { RequestBody } from '../../src/entry/RequestBody.js'
import { RequestScope } from '../../src/entry/RequestScope.js'
import { ServiceLatencies } from '../../src/entry/ServiceLatencies.js'
import type { UpstreamCall } from '../../src/entry/UpstreamCall.js'
import { UpstreamClient } from '../../src/entry/UpstreamClient.js'
import { WorkClass } from '../../src/model/WorkClass.js'
import { AttemptResult } from '../../src/steer/AttemptResult.js'
import { FakeMetrics, FakeSteering, clusterKey, createEndpoint } from './fakes.js'

/** Fails each request as one that may have run. */
class FailingClient extends UpstreamClient {
  constructor (private readonly name: ResultName) { super() }

  override start (): UpstreamCall {
    const failure = createFailure(this.name, { outcome: Outcome.unknown })
    return { connection: '', response: Promise.resolve(err({ failure, result: AttemptResult.cancelled })), cancel () {} }
  }

  override close (): void {}
}

/** Returns the failure of an upload whose only attempt failed with `name`. */
async function upload (name: ResultName): Promise<[name: string, outcome: string] | undefined> {
  const clock = new SystemClock()
  const client = new FailingClient(name)
  const steering = new FakeSteering()
  steering.targets = [createEndpoint('e', '127.0.0.1:1')]
  const scope = new RequestScope(clock, clock.nowMs() + 1_000)
  const context = { host: 'h', clock, steering, endpointClient: client, hostClient: client, auth: new InternalAuth(clusterKey, clock), latencies: new ServiceLatencies(), metrics: new FakeMetrics() }
  const body = new RequestBody(Buffer.alloc(0), 0, undefined, 1)
  const request = { id: 'i', customer: 'a', priority: 1, moveStep: 1, service: 'intake', workClass: WorkClass.bulk, idempotent: false, method: 'POST', path: '/intake', key: undefined, headers: [], scope, body }
  const result = await new AttemptLoop(context, request, {
    choose: async (steerRequest) => await steering.choose(steerRequest),
    allowsRegion: () => true,
    enterRegion: () => true,
    leaveRegion: () => {},
    prepareAttempt: undefined,
    mayWrite: () => true,
    writeUntilMs: () => Infinity,
    waitUntilMs: Infinity,
    takeRetry: () => true,
    reserveUploadBytes: () => 0,
    excluded: new Set(),
    maxAttempts: 3,
    mayHedge: false
  }).run()
  scope.close()
  return result.isErr() ? [result.error.name, result.error.outcome] : undefined
}

// Guards against 408 or 503 for an upload of which a part was sent: its caller would take it as not run and send it again.
test('an upload that may have run fails with a status that does not say otherwise', async () => {
  const names = ['requestTimeout', 'claimExpired', 'upstreamTimeout', 'bodyTooLarge'] as const
  expect(await Promise.all(names.map(upload))).toEqual([
    ['upstreamReset', 'unknown'], ['upstreamReset', 'unknown'], ['upstreamTimeout', 'unknown'], ['bodyTooLarge', 'unknown']
  ])
})
