import { runChild } from './common/runChild.js'
import type { StorePlan } from './store/StorePlan.js'
import { StoreProcess } from './store/StoreProcess.js'

runChild<StorePlan>(async (plan) => await new StoreProcess(plan).start())
