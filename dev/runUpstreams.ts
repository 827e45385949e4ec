import { runChild } from './common/runChild.js'
import type { UpstreamPlan } from './upstream/UpstreamPlan.js'
import { UpstreamServer } from './upstream/UpstreamServer.js'

runChild<UpstreamPlan>(async (plan) => await new UpstreamServer(plan).start())
