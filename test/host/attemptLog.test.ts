import { test } from 'node:test'
import { expect } from 'earl'
import { HostGroup } from '../support/HostGroup.js'

// Guards against log lines that don't tell where the earlier attempts of a request were made and why they ended.
test('the log line of a retried request names each attempt with its connection', async () => {
  const group = await HostGroup.start(1, 2)
  try {
    for (const endpoint of group.endpoints) endpoint.behaviour = 'shed'
    await group.send({ method: 'POST', path: '/order/', id: 'o-1' })
    const line = group.logger.lines.find((each) => each.includes('refused id=o-1')) ?? ''
    const [first, second] = group.endpoints.map(({ id, address }) => `${id}@${address}:upstreamShed:not-run`)
    expect([line.includes(`${first}:`), line.includes(`${second}:`), /tried="\S+:1\/1 \S+:2\/1"/.test(line)]).toEqual([true, true, true])
  } finally {
    await group.stop()
  }
})

// Guards against numbers that don't tell a kept connection from a new one.
test('the log line of a retried request tells which of its attempts shared a connection', async () => {
  const group = await HostGroup.start(2, 2, ['north', 'south'])
  try {
    await group.send({ id: 'q-1' }, 1)
    for (const endpoint of group.endpoints) endpoint.behaviour = 'shed'
    await group.send({ id: 'q-2' }, 1)
    const line = group.logger.lines.find((each) => each.includes('refused id=q-2')) ?? ''
    expect(/tried="\S+:1\/2 \S+:2\/1"/.test(line)).toEqual(true)
  } finally {
    await group.stop()
  }
})
