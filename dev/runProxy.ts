import { runChild } from './common/runChild.js'
import type { ProxyPlan } from './proxy/ProxyPlan.js'
import { ProxyServer } from './proxy/ProxyServer.js'

runChild<ProxyPlan>(async (plan) => await new ProxyServer(plan).start())
