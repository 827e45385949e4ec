import { Counter, Gauge, Registry } from 'prom-client'
import { MemberState } from '../model/MemberState.js'
import type { AgentState } from './AgentState.js'

/** Sources of the values that are read on each scrape. */
interface AgentMetricsOptions {
  readonly state: AgentState
  readonly getWrongCredentials: () => number
}

/** Prometheus counters and gauges of the agent. */
export class AgentMetrics {
  readonly registry = new Registry()
  readonly frameFailures = new Counter({ name: 'shunt_agent_frame_failures_total', help: 'Connections that broke the frame protocol, by reason.', labelNames: ['reason'], registers: [this.registry] })
  readonly refusedConfigs = new Counter({
    name: 'shunt_agent_config_refused_total',
    help: 'Configurations that were refused, by relation to the configuration in force.',
    labelNames: ['relation'],
    registers: [this.registry]
  })

  readonly suspicions = new Counter({ name: 'shunt_agent_suspicions_total', help: 'Hosts that this agent suspected.', registers: [this.registry] })
  readonly indirectProbes = new Counter({ name: 'shunt_agent_indirect_probes_total', help: 'Indirect probes, by result.', labelNames: ['result'], registers: [this.registry] })

  constructor (private readonly options: AgentMetricsOptions) {
    const { state, getWrongCredentials } = options
    this.addGauge('shunt_agent_config_version', 'Configuration version that the agent holds.', () => state.holder.version)
    this.addGauge('shunt_agent_config_heard_version', 'Highest configuration version that any agent announced.', () => state.holder.observedVersion)
    this.addGauge('shunt_agent_platform_fault', '1 when the platform cannot be read or its configuration is refused.', () => state.getFault() === undefined ? 0 : 1)
    this.addGauge('shunt_agent_resident_bytes', 'Resident memory of the process.', () => process.memoryUsage.rss())
    this.addGauge('shunt_agent_wrong_credentials', 'Wrong operator credentials since the start.', getWrongCredentials)
    this.addMemberGauge()
  }

  private addGauge (name: string, help: string, read: () => number): void {
    const gauge: Gauge = new Gauge({ name, help, registers: [this.registry], collect: () => gauge.set(read()) })
  }

  private addMemberGauge (): void {
    const { state } = this.options
    const gauge = new Gauge({
      name: 'shunt_agent_members',
      help: 'Hosts by state as this agent sees them.',
      labelNames: ['state'],
      registers: [this.registry],
      collect: () => {
        const members = state.listMembers()
        for (const name of Object.values(MemberState)) gauge.set({ state: name }, members.filter((member) => member.state === name).length)
      }
    })
  }
}
