import { readFileSync } from 'node:fs'
import type { Settings } from '../../src/config/Settings.js'
import type { BaselinePlan } from './BaselinePlan.js'
import { BaselineServer } from './BaselineServer.js'

const [settingsFile = '', planFile = ''] = process.argv.slice(2)
const settings = JSON.parse(readFileSync(settingsFile, 'utf8')) as Settings
const plan = JSON.parse(readFileSync(planFile, 'utf8')) as BaselinePlan

process.on('SIGTERM', () => process.exit(0))
await new BaselineServer(settings, plan).listen()
