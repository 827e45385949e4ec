import { runChild } from './common/runChild.js'
import type { PlatformPlan } from './platform/PlatformPlan.js'
import { PlatformServer } from './platform/PlatformServer.js'

runChild<PlatformPlan>(async (plan) => await new PlatformServer(plan).start())
