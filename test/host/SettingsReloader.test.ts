import { test } from 'node:test'
import { expect } from 'earl'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { HostSettings } from '../../src/host/HostSettings.js'
import { SettingsReloader } from '../../src/host/SettingsReloader.js'
import { createHostSettings } from '../support/createHostSettings.js'
import { MemoryLogger } from '../support/MemoryLogger.js'

/** A settings file in memory and what a reload made of it. */
class SettingsFixture {
  source: Result<HostSettings, string>
  stamp: string | undefined = '1'
  readonly logger = new MemoryLogger()
  readonly applied: HostSettings[] = []
  readonly reloader: SettingsReloader

  constructor (readonly initial = createHostSettings()) {
    this.source = ok(initial)
    this.reloader = new SettingsReloader({
      initial,
      read: () => this.source,
      readStamp: () => this.stamp,
      apply: (settings) => this.applied.push(settings),
      logger: this.logger
    })
  }
}

// Guards against a signal that is logged while the old bounds stay in force.
test('a signal brings changed bounds into force and logs old and new', () => {
  const fixture = new SettingsFixture()
  fixture.source = ok({ ...fixture.initial, bounds: { ...fixture.initial.bounds, graceMs: 9_000 } })
  fixture.reloader.reload('signal')
  expect(fixture.applied.map((settings) => settings.bounds.graceMs)).toEqual([9_000])
  expect(fixture.logger.lines).toEqual([
    'info setting-changed field=bounds.graceMs from=3000 to=9000 inForce=true',
    'info reload cause=signal changed=1 needRestart=0'
  ])
})

// Guards against a file that is written without a signal and never read.
test('a silent change is found by its stamp, once', () => {
  const fixture = new SettingsFixture()
  fixture.reloader.check()
  fixture.source = ok({ ...fixture.initial, seeds: ['10.0.0.9:7540'] })
  fixture.reloader.check()
  expect(fixture.applied).toEqual([])
  fixture.stamp = '2'
  fixture.reloader.check()
  fixture.reloader.check()
  expect(fixture.applied.map((settings) => settings.seeds)).toEqual([['10.0.0.9:7540']])
})

// Guards against a broken file that ends a running process or resets its bounds.
test('wrong settings are logged and change nothing, and the next good ones count', () => {
  const fixture = new SettingsFixture()
  fixture.source = err('field "zone" is missing')
  fixture.reloader.reload('signal')
  expect(fixture.applied).toEqual([])
  expect(fixture.logger.lines).toEqual(['error reload-failed cause=signal message="field \\"zone\\" is missing"'])
  fixture.stamp = '2'
  fixture.source = ok({ ...fixture.initial, linkMbps: 70 })
  fixture.reloader.check()
  expect(fixture.applied.map((settings) => settings.linkMbps)).toEqual([70])
})

// Guards against a process that half takes over an address it doesn't listen on.
test('a change that needs a restart is named and not applied', () => {
  const fixture = new SettingsFixture()
  fixture.source = ok({ ...fixture.initial, zone: 'south-a', linkMbps: 70 })
  fixture.reloader.reload('signal')
  expect(fixture.applied.map((settings) => [settings.zone, settings.linkMbps])).toEqual([['north-a', 70]])
  expect(fixture.logger.lines.includes('info setting-changed field=zone from=north-a to=south-a inForce=false')).toEqual(true)
  expect(fixture.logger.lines.at(-1)).toEqual('info reload cause=signal changed=2 needRestart=1')
})

// Guards against a file that is missing for a moment while it is replaced.
test('a file that cannot be looked at is left for the next look', () => {
  const fixture = new SettingsFixture()
  fixture.stamp = undefined
  fixture.source = err('no such file')
  fixture.reloader.check()
  expect(fixture.logger.lines).toEqual([])
})
