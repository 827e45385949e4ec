import type { Spec } from './searchStates.js'

interface ClaimMessage {
  readonly kind: 'ask' | 'grant' | 'notRun' | 'done'
  readonly host: number
  readonly claim: number
}

/** A host that received the request. */
interface Executor {
  readonly phase: 'idle' | 'asked' | 'granted' | 'ran' | 'dead'
  readonly claim: number
  readonly sentAt: number
}

/** One key, its home, and two hosts that receive requests with it. Times are ticks. */
interface ClaimState {
  readonly t: number
  readonly row: { readonly claim: number, readonly host: number, readonly settledAt: number | null } | null
  /** Time from which the home's memory is complete. */
  readonly completeAt: number
  readonly executors: readonly Executor[]
  readonly messages: readonly ClaimMessage[]
  readonly claims: number
  readonly runs: number
  readonly ranAt: number | null
  /** A caller was told that the request was not run when it had been. */
  readonly lied: boolean
  readonly faults: number
}

/** Mistakes that can be planted. */
type ClaimMistake = 'grantAfterRestart' | 'shortMemoryWait' | 'noValidity' | 'forgetDead' | 'notRunWithoutAnswer' | 'anyNotRun'

const validTicks = 2
const retentionTicks = 2
/** A request within the retention time may be granted a little later, and used for its validity. */
const memoryTicks = retentionTicks + validTicks
const maxMessages = 2

/** The protocol of claims with the invariants `at_most_once` and `not_run_true`. */
export function createClaimSpec (mistake?: ClaimMistake, maxClaims = 2, lastTick = 5): Spec<ClaimState> {
  const memoryWait = { grantAfterRestart: 0, shortMemoryWait: retentionTicks }[mistake as string] ?? memoryTicks
  const idle: Executor = { phase: 'idle', claim: 0, sentAt: 0 }
  const initial: ClaimState = {
    t: 0, row: null, completeAt: 0, executors: [idle, idle], messages: [], claims: 0, runs: 0, ranAt: null, lied: false, faults: 2
  }

  function * next (state: ClaimState): Iterable<readonly [string, ClaimState]> {
    if (state.t < lastTick) yield ['tick', tick(state)]
    if (state.faults > 0) {
      yield ['home restarts', { ...state, row: null, completeAt: state.t + memoryWait, faults: state.faults - 1 }]
    }
    const { row } = state
    if (row !== null && row.settledAt === null && state.executors[row.host]?.phase === 'dead') {
      yield ['home notes a death', { ...state, row: mistake === 'forgetDead' ? null : { ...row, settledAt: state.t } }]
    }
    // Both hosts behave alike, so the first one asks first.
    for (const host of state.executors.keys()) if (host === 0 || state.claims > 0) yield * executorSteps(state, host)
    for (const message of state.messages) {
      const rest = { ...state, messages: state.messages.filter((other) => other !== message) }
      // A message that is never delivered counts as lost; it only needs room for another one.
      if (state.messages.length === maxMessages) yield [`lose ${message.kind} ${message.host}`, rest]
      const delivered = deliver(rest, message)
      yield [`deliver ${message.kind} ${message.host}`, delivered]
      if (state.faults > 0) yield [`deliver ${message.kind} ${message.host} and repeat`, { ...delivered, messages: [...delivered.messages, message], faults: state.faults - 1 }]
    }
  }

  function * executorSteps (state: ClaimState, host: number): Iterable<readonly [string, ClaimState]> {
    const executor = state.executors[host]!
    const { phase, claim, sentAt } = executor
    if (phase !== 'dead' && state.faults > 0) yield [`${host} dies`, { ...update(state, host, { ...executor, phase: 'dead' }), faults: state.faults - 1 }]
    // Callers repeat a key only within the retention time.
    const mayAsk = state.ranAt === null || state.t < state.ranAt + retentionTicks
    if (phase === 'idle' && mayAsk && state.claims < maxClaims && state.messages.length < maxMessages) {
      const asked: Executor = { phase: 'asked', claim: state.claims, sentAt: state.t }
      yield [`${host} asks`, send({ ...update(state, host, asked), claims: state.claims + 1 }, { kind: 'ask', host, claim: state.claims })]
    }
    if (phase === 'asked') {
      const lied = state.lied || (mistake === 'notRunWithoutAnswer' && state.runs > 0)
      yield [`${host} gives up`, send({ ...update(state, host, { ...executor, phase: 'idle' }), lied }, { kind: 'notRun', host, claim })]
    }
    if (phase !== 'granted') return
    if (mistake === 'noValidity' || state.t < sentAt + validTicks) {
      const ran = { ...update(state, host, { ...executor, phase: 'ran' }), runs: state.runs + 1, ranAt: state.ranAt ?? state.t }
      yield [`${host} runs`, send(ran, { kind: 'done', host, claim })]
    }
    // A process that was paused for the retention time can't know what else ran since.
    if (state.t >= sentAt + retentionTicks) return
    const told = { ...update(state, host, { ...executor, phase: 'idle' }), lied: state.lied || state.runs > 0 }
    yield [`${host} says not run`, send(told, { kind: 'notRun', host, claim })]
  }

  function deliver (state: ClaimState, { kind, host, claim }: ClaimMessage): ClaimState {
    const { row, t } = state
    const executor = state.executors[host]!
    if (kind === 'grant') return executor.phase === 'asked' && executor.claim === claim ? update(state, host, { ...executor, phase: 'granted' }) : state
    if (kind === 'ask') {
      if (row !== null || t < state.completeAt) return state
      return send({ ...state, row: { claim, host, settledAt: null } }, { kind: 'grant', host, claim })
    }
    if (row === null || (row.claim !== claim && !(kind === 'notRun' && mistake === 'anyNotRun'))) return state
    if (kind === 'notRun') return row.settledAt === null || mistake === 'anyNotRun' ? { ...state, row: null } : state
    return { ...state, row: { ...row, settledAt: t } }
  }

  return { initial, next, invariants: { at_most_once: ({ runs }) => runs <= 1, not_run_true: ({ lied }) => !lied } }
}

/** The home forgets a settled key after the retention time. */
function tick (state: ClaimState): ClaimState {
  const t = state.t + 1
  const isForgotten = state.row?.settledAt != null && t >= state.row.settledAt + memoryTicks
  return { ...state, t, row: isForgotten ? null : state.row }
}

function update (state: ClaimState, host: number, executor: Executor): ClaimState {
  return { ...state, executors: state.executors.map((other, index) => index === host ? executor : other) }
}

/** A message that finds no room counts as lost. */
function send (state: ClaimState, message: ClaimMessage): ClaimState {
  return state.messages.length >= maxMessages ? state : { ...state, messages: [...state.messages, message] }
}
