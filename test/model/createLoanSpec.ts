import type { Spec } from './searchStates.js'

/** A message in transit; it may be delivered at any time, twice, or never. */
interface LoanMessage {
  readonly kind: 'request' | 'grant' | 'return'
  readonly seq: number
  readonly sentAt: number
}

/** One permit, owned by a lender and lent to a borrower that owns none. Times are in ticks. */
interface LoanState {
  readonly t: number
  readonly lenderUp: boolean
  /** Time before which a restarted lender neither uses nor lends the permit. */
  readonly quarantineUntil: number
  /** The lender's record of its loan. */
  readonly lent: { readonly seq: number, readonly until: number } | null
  /** Highest sequence number that the lender has recorded as settled. */
  readonly settled: number
  /** Deadlines of requests in flight, by the host that admitted them. */
  readonly lenderDeadlines: readonly number[]
  readonly borrowerDeadlines: readonly number[]
  readonly seq: number
  /** Sequence number of the request whose grant the borrower awaits. */
  readonly awaited: number | null
  readonly held: { readonly seq: number, readonly validUntil: number } | null
  readonly messages: readonly LoanMessage[]
  /** Faults that may still happen. */
  readonly faults: number
}

/** Bugs that can be injected into the protocol. */
type LoanBug = 'earlyResume' | 'noQuarantine' | 'validFromReceipt' | 'returnInUse' | 'anyReturn'

/** Durations of the protocol in ticks and bounds of the search. */
interface LoanBounds {
  readonly loan: number
  readonly valid: number
  /** Longest duration of an admitted request. */
  readonly request: number
  readonly last: number
  readonly messages: number
  readonly loanRequests: number
}

const smallBounds: LoanBounds = { loan: 2, valid: 2, request: 2, last: 6, messages: 2, loanRequests: 2 }

/** Specifies the protocol of permit loans between two hosts, with the invariant `cap`: at most one request is in flight. */
export function createLoanSpec (bug?: LoanBug, bounds = smallBounds): Spec<LoanState> {
  const { loan: loanTicks, valid: validTicks, request: requestTicks, last: lastTick, messages: maxMessages, loanRequests: maxSeq } = bounds
  const graceTicks = bug === 'earlyResume' ? 0 : requestTicks
  const quarantineTicks = bug === 'noQuarantine' ? 0 : loanTicks + requestTicks
  const initial: LoanState = {
    t: 0, lenderUp: true, quarantineUntil: 0, lent: null, settled: 0, lenderDeadlines: [], borrowerDeadlines: [], seq: 0, awaited: null, held: null, messages: [], faults: 2
  }

  function * next (state: LoanState): Iterable<readonly [string, LoanState]> {
    if (state.t < lastTick) yield ['tick', tick(state)]
    yield * lenderSteps(state)
    yield * borrowerSteps(state)
    for (const message of state.messages) {
      const remaining = { ...state, messages: state.messages.filter((other) => other !== message) }
      // A message that is never delivered counts as lost; an explicit loss is only needed to make room for another message.
      if (state.messages.length === maxMessages) yield [`lose ${message.kind}`, remaining]
      const delivered = deliver(remaining, message)
      yield [`deliver ${message.kind}`, delivered]
      if (state.faults > 0) yield [`deliver ${message.kind} and repeat`, { ...delivered, messages: [...delivered.messages, message], faults: state.faults - 1 }]
    }
  }

  function * lenderSteps (state: LoanState): Iterable<readonly [string, LoanState]> {
    const { t } = state
    const canUse = state.lenderUp && t >= state.quarantineUntil && (state.lent === null || t >= state.lent.until)
    if (canUse && state.lenderDeadlines.length === 0) yield ['lender admits', { ...state, lenderDeadlines: [t + requestTicks] }]
    if (state.lenderDeadlines.length > 0) yield ['lender ends', { ...state, lenderDeadlines: [] }]
    if (state.lenderUp && state.faults > 0) yield ['lender crashes', { ...state, lenderUp: false, lent: null, settled: 0, lenderDeadlines: [], faults: state.faults - 1 }]
    if (!state.lenderUp) yield ['lender restarts', { ...state, lenderUp: true, quarantineUntil: t + quarantineTicks }]
  }

  function * borrowerSteps (state: LoanState): Iterable<readonly [string, LoanState]> {
    const { t, held, seq } = state
    if (held === null && state.awaited === null && seq < maxSeq && state.messages.length < maxMessages) {
      yield ['request', { ...state, seq: seq + 1, awaited: seq + 1, messages: [...state.messages, { kind: 'request', seq: seq + 1, sentAt: t }] }]
    }
    if (state.awaited !== null) yield ['time out', { ...state, awaited: null }]
    if (held !== null && t < held.validUntil && state.borrowerDeadlines.length === 0) yield ['borrower admits', { ...state, borrowerDeadlines: [t + requestTicks] }]
    if (state.borrowerDeadlines.length > 0) yield ['borrower ends', { ...state, borrowerDeadlines: [] }]
    if (held !== null && state.messages.length < maxMessages && (state.borrowerDeadlines.length === 0 || bug === 'returnInUse')) {
      yield ['return loan', { ...state, held: null, messages: [...state.messages, { kind: 'return', seq: held.seq, sentAt: t }] }]
    }
  }

  function deliver (state: LoanState, message: LoanMessage): LoanState {
    const { t, lent } = state
    if (message.kind === 'grant') {
      if (state.awaited !== message.seq) return state
      const from = bug === 'validFromReceipt' ? t : message.sentAt
      return { ...state, awaited: null, held: { seq: message.seq, validUntil: from + validTicks } }
    }
    if (!state.lenderUp) return state
    if (message.kind === 'return') {
      const isReturned = lent !== null && (lent.seq <= message.seq || bug === 'anyReturn')
      return { ...state, lent: isReturned ? null : lent, settled: Math.max(state.settled, message.seq) }
    }
    if (message.seq <= state.settled) return state
    // The borrower sends a request only while it holds no permit, so every earlier loan is settled.
    const current = lent !== null && lent.seq < message.seq ? null : lent
    const settledState = { ...state, lent: current, settled: Math.max(state.settled, message.seq - 1) }
    const canLend = t >= state.quarantineUntil && state.lenderDeadlines.length === 0 && (current === null || t >= current.until)
    if (!canLend) return settledState
    const grant = { kind: 'grant', seq: message.seq, sentAt: message.sentAt } as const
    return { ...settledState, lent: { seq: message.seq, until: t + loanTicks + graceTicks }, messages: [...state.messages, grant] }
  }

  return { initial, next, invariants: { cap: ({ lenderDeadlines, borrowerDeadlines }) => lenderDeadlines.length + borrowerDeadlines.length <= 1 } }
}

/** Advances the time by one tick; every request ends at its deadline, even when its host is paused. */
function tick (state: LoanState): LoanState {
  const t = state.t + 1
  const isOpen = (deadline: number): boolean => deadline > t
  return { ...state, t, lenderDeadlines: state.lenderDeadlines.filter(isOpen), borrowerDeadlines: state.borrowerDeadlines.filter(isOpen) }
}
