import type { Spec } from './searchStates.js'

interface ClaimMessage {
  readonly kind: 'request' | 'grant' | 'notRun' | 'done'
  readonly host: number
  readonly claim: number
}

/** A host that has received a request with the key. */
interface Executor {
  readonly phase: 'idle' | 'requested' | 'granted' | 'ran' | 'dead'
  readonly claim: number
  readonly sentAt: number
}

/** One key, its home host, and two hosts that receive requests with the key. Times are in ticks. */
interface ClaimState {
  readonly t: number
  readonly row: { readonly claim: number, readonly host: number, readonly settledAt: number | null } | null
  /** Time from which the home has a complete record of recent claims. */
  readonly completeAt: number
  readonly executors: readonly Executor[]
  readonly messages: readonly ClaimMessage[]
  readonly claims: number
  readonly runs: number
  readonly ranAt: number | null
  /** True once a caller has received "not run" for a request that had run. */
  readonly hasFalseNotRun: boolean
  readonly faults: number
}

/** Bugs that can be injected into the protocol. */
type ClaimBug = 'grantAfterRestart' | 'shortMemoryWait' | 'noValidity' | 'releaseDead' | 'notRunWithoutAnswer' | 'anyNotRun'

const validTicks = 2
const retentionTicks = 2
/** A claim requested at the end of the retention time may still run until its validity ends, so the home keeps records that much longer. */
const memoryTicks = retentionTicks + validTicks
const maxMessages = 2

/** Specifies the claim protocol with the invariants `at_most_once` and `not_run_true`. */
export function createClaimSpec (bug?: ClaimBug, maxClaims = 2, lastTick = 5): Spec<ClaimState> {
  const memoryWait = { grantAfterRestart: 0, shortMemoryWait: retentionTicks }[bug as string] ?? memoryTicks
  const idle: Executor = { phase: 'idle', claim: 0, sentAt: 0 }
  const initial: ClaimState = {
    t: 0, row: null, completeAt: 0, executors: [idle, idle], messages: [], claims: 0, runs: 0, ranAt: null, hasFalseNotRun: false, faults: 2
  }

  function * next (state: ClaimState): Iterable<readonly [string, ClaimState]> {
    if (state.t < lastTick) yield ['tick', tick(state)]
    if (state.faults > 0) {
      yield ['home restarts', { ...state, row: null, completeAt: state.t + memoryWait, faults: state.faults - 1 }]
    }
    const { row } = state
    if (row !== null && row.settledAt === null && state.executors[row.host]?.phase === 'dead') {
      yield ['home detects a death', { ...state, row: bug === 'releaseDead' ? null : { ...row, settledAt: state.t } }]
    }
    // Both hosts behave alike, so host 0 always sends the first request.
    for (const host of state.executors.keys()) if (host === 0 || state.claims > 0) yield * executorSteps(state, host)
    for (const message of state.messages) {
      const remaining = { ...state, messages: state.messages.filter((other) => other !== message) }
      // A message that is never delivered counts as lost; an explicit loss is only needed to make room for another message.
      if (state.messages.length === maxMessages) yield [`lose ${message.kind} ${message.host}`, remaining]
      const delivered = deliver(remaining, message)
      yield [`deliver ${message.kind} ${message.host}`, delivered]
      if (state.faults > 0) yield [`deliver ${message.kind} ${message.host} and repeat`, { ...delivered, messages: [...delivered.messages, message], faults: state.faults - 1 }]
    }
  }

  function * executorSteps (state: ClaimState, host: number): Iterable<readonly [string, ClaimState]> {
    const executor = state.executors[host]!
    const { phase, claim, sentAt } = executor
    if (phase !== 'dead' && state.faults > 0) yield [`${host} dies`, { ...update(state, host, { ...executor, phase: 'dead' }), faults: state.faults - 1 }]
    // Callers reuse a key only within the retention time.
    const mayRequest = state.ranAt === null || state.t < state.ranAt + retentionTicks
    if (phase === 'idle' && mayRequest && state.claims < maxClaims && state.messages.length < maxMessages) {
      const requested: Executor = { phase: 'requested', claim: state.claims, sentAt: state.t }
      yield [`${host} requests`, send({ ...update(state, host, requested), claims: state.claims + 1 }, { kind: 'request', host, claim: state.claims })]
    }
    if (phase === 'requested') {
      const hasFalseNotRun = state.hasFalseNotRun || (bug === 'notRunWithoutAnswer' && state.runs > 0)
      yield [`${host} times out`, send({ ...update(state, host, { ...executor, phase: 'idle' }), hasFalseNotRun }, { kind: 'notRun', host, claim })]
    }
    if (phase !== 'granted') return
    if (bug === 'noValidity' || state.t < sentAt + validTicks) {
      const ran = { ...update(state, host, { ...executor, phase: 'ran' }), runs: state.runs + 1, ranAt: state.ranAt ?? state.t }
      yield [`${host} runs`, send(ran, { kind: 'done', host, claim })]
    }
    // After a pause as long as the retention time, the process cannot rule out that another claim has run since.
    if (state.t >= sentAt + retentionTicks) return
    const reported = { ...update(state, host, { ...executor, phase: 'idle' }), hasFalseNotRun: state.hasFalseNotRun || state.runs > 0 }
    yield [`${host} reports not run`, send(reported, { kind: 'notRun', host, claim })]
  }

  function deliver (state: ClaimState, { kind, host, claim }: ClaimMessage): ClaimState {
    const { row, t } = state
    const executor = state.executors[host]!
    if (kind === 'grant') return executor.phase === 'requested' && executor.claim === claim ? update(state, host, { ...executor, phase: 'granted' }) : state
    if (kind === 'request') {
      if (row !== null || t < state.completeAt) return state
      return send({ ...state, row: { claim, host, settledAt: null } }, { kind: 'grant', host, claim })
    }
    if (row === null || (row.claim !== claim && !(kind === 'notRun' && bug === 'anyNotRun'))) return state
    if (kind === 'notRun') return row.settledAt === null || bug === 'anyNotRun' ? { ...state, row: null } : state
    return { ...state, row: { ...row, settledAt: t } }
  }

  return { initial, next, invariants: { at_most_once: ({ runs }) => runs <= 1, not_run_true: ({ hasFalseNotRun }) => !hasFalseNotRun } }
}

/** Advances the time by one tick; the home drops the record of a settled key after `memoryTicks`. */
function tick (state: ClaimState): ClaimState {
  const t = state.t + 1
  const isExpired = state.row?.settledAt != null && t >= state.row.settledAt + memoryTicks
  return { ...state, t, row: isExpired ? null : state.row }
}

function update (state: ClaimState, host: number, executor: Executor): ClaimState {
  return { ...state, executors: state.executors.map((other, index) => index === host ? executor : other) }
}

/** Adds a message; counts it as lost when `maxMessages` are in transit. */
function send (state: ClaimState, message: ClaimMessage): ClaimState {
  return state.messages.length >= maxMessages ? state : { ...state, messages: [...state.messages, message] }
}
