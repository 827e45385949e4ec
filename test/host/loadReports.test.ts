import { test } from 'node:test'
import { expect } from 'earl'
import { HostGroup } from '../support/HostGroup.js'

// Guards against a free endpoint that counts as busy, since its load report counts the request whose response carries it.
test('an endpoint is free once its only request has been answered', async () => {
  const group = await HostGroup.start(1, 0)
  const endpoint = await group.addEndpoint('e-0', 'stock', 1)
  await group.waitUntil(() => group.logger.lines.some((line) => line.includes('endpoints-changed') && line.includes('known=1')))
  endpoint.serviceMs = 300
  const statuses: number[] = []
  for (let index = 0; index < 5; index++) {
    // A request that waited for another one could not be answered before its deadline, and would be refused at once.
    statuses.push((await group.send({ deadlineMs: 450 })).status)
  }
  await group.stop()
  expect(statuses).toEqual([200, 200, 200, 200, 200])
})
