import type { Spec } from './searchStates.js'

/** A message under way; it may be delivered at any time, twice, or never. */
interface LoanMessage {
  readonly kind: 'ask' | 'grant' | 'return'
  readonly seq: number
  readonly sentAt: number
}

/** One permit, owned by a lender and lent to a borrower that has none of its own. Times are ticks. */
interface LoanState {
  readonly t: number
  readonly lenderUp: boolean
  /** Time before which the lender uses and lends nothing. */
  readonly quietUntil: number
  /** The lender's record of its loan. */
  readonly lent: { readonly seq: number, readonly until: number } | null
  /** Deadlines of requests in flight, by the host that admitted them. */
  readonly lenderFlights: readonly number[]
  readonly borrowerFlights: readonly number[]
  readonly seq: number
  /** The request whose answer the borrower awaits. */
  readonly awaited: number | null
  readonly held: { readonly seq: number, readonly validUntil: number } | null
  readonly messages: readonly LoanMessage[]
  /** Faults that may still happen. */
  readonly faults: number
}

/** Mistakes that can be planted. */
type LoanMistake = 'earlyResume' | 'noQuarantine' | 'validFromReceipt' | 'returnInUse' | 'anyReturn'

const loanTicks = 2
const validTicks = 2
const requestTicks = 2
const lastTick = 6
const maxMessages = 2
const maxSeq = 2

/** The protocol of permit loans between two hosts, with the invariant `cap`: at most one request is in flight. */
export function createLoanSpec (mistake?: LoanMistake): Spec<LoanState> {
  const tail = mistake === 'earlyResume' ? 0 : requestTicks
  const quiet = mistake === 'noQuarantine' ? 0 : loanTicks + requestTicks
  const initial: LoanState = {
    t: 0, lenderUp: true, quietUntil: 0, lent: null, lenderFlights: [], borrowerFlights: [], seq: 0, awaited: null, held: null, messages: [], faults: 2
  }

  function * next (state: LoanState): Iterable<readonly [string, LoanState]> {
    if (state.t < lastTick) yield ['tick', tick(state)]
    yield * lenderSteps(state)
    yield * borrowerSteps(state)
    for (const message of state.messages) {
      const rest = { ...state, messages: state.messages.filter((other) => other !== message) }
      // A message that is never delivered counts as lost; it only needs room for another one.
      if (state.messages.length === maxMessages) yield [`lose ${message.kind}`, rest]
      const delivered = deliver(rest, message)
      yield [`deliver ${message.kind}`, delivered]
      if (state.faults > 0) yield [`deliver ${message.kind} and repeat`, { ...delivered, messages: [...delivered.messages, message], faults: state.faults - 1 }]
    }
  }

  function * lenderSteps (state: LoanState): Iterable<readonly [string, LoanState]> {
    const { t } = state
    const canUse = state.lenderUp && t >= state.quietUntil && (state.lent === null || t >= state.lent.until)
    if (canUse && state.lenderFlights.length === 0) yield ['lender admits', { ...state, lenderFlights: [t + requestTicks] }]
    if (state.lenderFlights.length > 0) yield ['lender ends', { ...state, lenderFlights: [] }]
    if (state.lenderUp && state.faults > 0) yield ['lender crashes', { ...state, lenderUp: false, lent: null, lenderFlights: [], faults: state.faults - 1 }]
    if (!state.lenderUp) yield ['lender restarts', { ...state, lenderUp: true, quietUntil: t + quiet }]
  }

  function * borrowerSteps (state: LoanState): Iterable<readonly [string, LoanState]> {
    const { t, held, seq } = state
    if (held === null && state.awaited === null && seq < maxSeq && state.messages.length < maxMessages) {
      yield ['ask', { ...state, seq: seq + 1, awaited: seq + 1, messages: [...state.messages, { kind: 'ask', seq: seq + 1, sentAt: t }] }]
    }
    if (state.awaited !== null) yield ['give up', { ...state, awaited: null }]
    if (held !== null && t < held.validUntil && state.borrowerFlights.length === 0) yield ['borrower admits', { ...state, borrowerFlights: [t + requestTicks] }]
    if (state.borrowerFlights.length > 0) yield ['borrower ends', { ...state, borrowerFlights: [] }]
    if (held !== null && state.messages.length < maxMessages && (state.borrowerFlights.length === 0 || mistake === 'returnInUse')) {
      yield ['give back', { ...state, held: null, messages: [...state.messages, { kind: 'return', seq: held.seq, sentAt: t }] }]
    }
  }

  function deliver (state: LoanState, message: LoanMessage): LoanState {
    const { t, lent } = state
    if (message.kind === 'grant') {
      if (state.awaited !== message.seq) return state
      const from = mistake === 'validFromReceipt' ? t : message.sentAt
      return { ...state, awaited: null, held: { seq: message.seq, validUntil: from + validTicks } }
    }
    if (!state.lenderUp) return state
    if (message.kind === 'return') return lent !== null && (lent.seq === message.seq || mistake === 'anyReturn') ? { ...state, lent: null } : state
    const isFree = t >= state.quietUntil && state.lenderFlights.length === 0 && (lent === null || t >= lent.until)
    if (!isFree) return state
    const grant = { kind: 'grant', seq: message.seq, sentAt: message.sentAt } as const
    return { ...state, lent: { seq: message.seq, until: t + loanTicks + tail }, messages: [...state.messages, grant] }
  }

  return { initial, next, invariants: { cap: ({ lenderFlights, borrowerFlights }) => lenderFlights.length + borrowerFlights.length <= 1 } }
}

/** Every request is aborted at its deadline, whether its host is paused or not. */
function tick (state: LoanState): LoanState {
  const t = state.t + 1
  const isOpen = (deadline: number): boolean => deadline > t
  return { ...state, t, lenderFlights: state.lenderFlights.filter(isOpen), borrowerFlights: state.borrowerFlights.filter(isOpen) }
}
