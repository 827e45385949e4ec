import { test } from 'node:test'
import { expect } from 'earl'
import { Cluster } from '../../dev/Cluster.js'
import { measureConfigSpread } from '../../dev/proof/measureConfigSpread.js'

const specLimitMs = 6_000

// Guards against a lost update when two operators change the same contract at the same moment.
test('two operators at once', async () => {
  const cluster = await Cluster.start({ example: 'caroni', network: 155, logLevel: 'error' })
  try {
    const current = await cluster.operator().call('GET', 'contracts/sports-clubs')
    const { version, ...contract } = (current.body.contract ?? current.body) as never as Cluster['contracts'][number] & { version: number }
    const answers = await Promise.all([
      cluster.operator('north-a-1', 'anna').putContract({ ...contract, priority: 5 }, version),
      cluster.operator('tobago-a-1', 'joseph').putContract({ ...contract, priority: 6 }, version)
    ])
    expect(answers.map(({ status }) => status).sort()).toEqual([200, 409])
    const winner = answers[0].status === 200 ? 'anna' : 'joseph'
    const loser = answers.find(({ status }) => status === 409)!
    expect(JSON.stringify(loser.body)).toInclude(winner)
  } finally {
    await cluster.close()
  }
})

// Guards against a write to a slow store that is applied twice, or reported as failed, because its answer was lost.
test('write answers lost on a slow store', async () => {
  const cluster = await Cluster.start({ example: 'caroni', network: 156, logLevel: 'error' })
  try {
    const before = Number((await cluster.operator().call('GET', 'config')).body.version)
    await cluster.standIns.setPlatformFaults({ delayMs: 300, loseAnswers: 2 })
    const answer = await cluster.operator().changeContract('sports-clubs', { priority: 7 })
    await cluster.standIns.setPlatformFaults({ delayMs: 0, loseAnswers: 0 })
    const contract = (await cluster.operator().call('GET', 'contracts/sports-clubs')).body
    const after = Number((await cluster.operator().call('GET', 'config')).body.version)
    expect([200, 503]).toInclude(answer.status)
    if (answer.status === 200) expect([JSON.stringify(contract).includes('"priority":7'), after]).toEqual([true, before + 1])
    else expect(answer.body.outcome === 'unknown' || after === before).toEqual(true)
  } finally {
    await cluster.close()
  }
})

// Guards against a configuration that is applied late, or that reverts to an older version when the store is rolled back
// or a host restarts without its stored copy.
test('configuration spreads and never reverts', async () => {
  const cluster = await Cluster.start({ example: 'caroni', network: 157, logLevel: 'error' })
  try {
    const { status, spreadMs } = await measureConfigSpread(cluster, 'glove-wholesale')
    expect(status).toEqual(200)
    expect(spreadMs ?? Infinity).toBeLessThanOrEqual(specLimitMs)
    const version = Number((await cluster.operator().call('GET', 'config')).body.version)
    await cluster.standIns.rollBackPlatform(2)
    await cluster.killHost('south-b-1')
    await cluster.restartHost('south-b-1')
    await new Promise((resolve) => setTimeout(resolve, 3_000))
    const versions = await Promise.all(cluster.hostNames.map(async (host) => Number((await cluster.operator(host).call('GET', 'config')).body.version)))
    expect(new Set(versions)).toEqual(new Set([version]))
    const refused = await cluster.operator('south-b-1').changeContract('glove-wholesale', { priority: 9 })
    expect([refused.status, refused.body.name]).toEqual([503, 'configRolledBack'])
  } finally {
    await cluster.close()
  }
})
