import { test } from 'node:test'
import { expect } from 'earl'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { HostSettings } from '../../src/host/HostSettings.js'
import { SettingsReloader } from '../../src/host/SettingsReloader.js'
import { createHostSettings } from '../support/createHostSettings.js'
import { MemoryLogger } from '../support/MemoryLogger.js'

/** An in-memory settings file and the settings applied by reloads. */
class SettingsFixture {
  source: Result<HostSettings, string>
  revision: string | undefined = '1'
  readonly logger = new MemoryLogger()
  readonly applied: HostSettings[] = []
  readonly reloader: SettingsReloader

  constructor (readonly initial = createHostSettings()) {
    this.source = ok(initial)
    this.reloader = new SettingsReloader({
      initial,
      read: () => this.source,
      readRevision: () => this.revision,
      apply: (settings) => this.applied.push(settings),
      logger: this.logger
    })
  }
}

// Guards against a reload that is logged while the old bounds stay in force.
test('a signal applies changed bounds and logs the old and new values', () => {
  const fixture = new SettingsFixture()
  fixture.source = ok({ ...fixture.initial, bounds: { ...fixture.initial.bounds, graceMs: 9_000 } })
  fixture.reloader.reload('signal')
  expect(fixture.applied.map((settings) => settings.bounds.graceMs)).toEqual([9_000])
  expect(fixture.logger.lines).toEqual([
    'info setting-changed field=bounds.graceMs from=3000 to=9000 inForce=true',
    'info reload cause=signal changed=1 needRestart=0'
  ])
})

// Guards against a file that is written without a signal and never reloaded.
test('a change of the file without a signal is detected and reloaded once', () => {
  const fixture = new SettingsFixture()
  fixture.reloader.check()
  fixture.source = ok({ ...fixture.initial, seeds: ['10.0.0.9:7540'] })
  fixture.reloader.check()
  expect(fixture.applied).toEqual([])
  fixture.revision = '2'
  fixture.reloader.check()
  fixture.reloader.check()
  expect(fixture.applied.map((settings) => settings.seeds)).toEqual([['10.0.0.9:7540']])
})

// Guards against an invalid file that ends a running process or resets its bounds.
test('invalid settings are logged and not applied, and later valid settings are applied', () => {
  const fixture = new SettingsFixture()
  fixture.source = err('field "zone" is missing')
  fixture.reloader.reload('signal')
  expect(fixture.applied).toEqual([])
  expect(fixture.logger.lines).toEqual(['error reload-failed cause=signal message="field \\"zone\\" is missing"'])
  fixture.revision = '2'
  fixture.source = ok({ ...fixture.initial, linkMbps: 70 })
  fixture.reloader.check()
  expect(fixture.applied.map((settings) => settings.linkMbps)).toEqual([70])
})

// Guards against a process that applies a change to fields that take effect only at a restart.
test('a change that needs a restart is logged and not applied', () => {
  const fixture = new SettingsFixture()
  fixture.source = ok({ ...fixture.initial, zone: 'south-a', linkMbps: 70 })
  fixture.reloader.reload('signal')
  expect(fixture.applied.map((settings) => [settings.zone, settings.linkMbps])).toEqual([['north-a', 70]])
  expect(fixture.logger.lines.includes('info setting-changed field=zone from=north-a to=south-a inForce=false')).toEqual(true)
  expect(fixture.logger.lines.at(-1)).toEqual('info reload cause=signal changed=2 needRestart=1')
})

// Guards against treating a file that is briefly missing during its replacement as a change.
test('a file that cannot be inspected is checked again later', () => {
  const fixture = new SettingsFixture()
  fixture.revision = undefined
  fixture.source = err('no such file')
  fixture.reloader.check()
  expect(fixture.logger.lines).toEqual([])
})
