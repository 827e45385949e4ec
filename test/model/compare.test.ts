import { test } from 'node:test'
import { expect } from 'earl'
import fc from 'fast-check'
import { claimLimits } from '../../src/claim/claimLimits.js'
import { ClaimTable } from '../../src/claim/ClaimTable.js'
import { createAmount } from '../../src/share/createAmount.js'
import { loanValidityMs } from '../../src/share/loanValidityMs.js'
import { shareLimits } from '../../src/share/shareLimits.js'
import { ShareTable } from '../../src/share/ShareTable.js'
import { createContract, createDoc, createHost } from './createDoc.js'
import { createLoanSpec } from './createLoanSpec.js'
import type { Spec } from './searchStates.js'

const doc = createDoc({ hosts: ['a1', 'a2'].map(createHost), contracts: [createContract({ rate: 10_000, burst: 5_000, concurrency: 1 })] })
const probe = new ShareTable({ host: 'a1', incarnation: 1, startedMs: 0 })
probe.setConfig(doc, 0)
const [lenderName, borrowerName] = probe.open('gyms', 0)!.share.portion.permits === 1 ? ['a1', 'a2'] as const : ['a2', 'a1'] as const

type LoanState = ReturnType<typeof createLoanSpec> extends Spec<infer State> ? State : never
type Permit = Exclude<ReturnType<NonNullable<ReturnType<ShareTable['open']>>['share']['tryAdmit']>, string>
type LoanRequest = ReturnType<ShareTable['planLoanRequests']>[number]['message']

/** Drives the real tables of a lender, which owns the only permit, and of a borrower through the steps of the specification. */
class RealPair {
  nowMs = shareLimits.permitQuarantineMs
  private incarnation = 1
  private lender = this.createTable(lenderName, 0)
  private readonly borrower = this.createTable(borrowerName, 0)
  private readonly requests = new Map<number, LoanRequest>()
  private readonly grants = new Map<number, NonNullable<ReturnType<ShareTable['lend']>>>()
  private readonly returns = new Map<number, ReturnType<ShareTable['createStatement']>>()
  private requestsInFlight: { at: 'lender' | 'borrower', endsAtMs: number, release: () => void }[] = []

  private createTable (host: string, startedMs: number): ShareTable {
    const table = new ShareTable({ host, incarnation: this.incarnation, startedMs })
    table.setConfig(doc, startedMs)
    return table
  }

  private rowOf (at: 'lender' | 'borrower') {
    return (at === 'lender' ? this.lender : this.borrower).open('gyms', this.nowMs)!
  }

  advance (ms: number): void {
    this.nowMs += ms
    for (const request of this.requestsInFlight.filter(({ endsAtMs }) => endsAtMs <= this.nowMs)) this.end(request.at)
  }

  canBorrowerAdmit (): boolean {
    const permit = this.tryAdmit('borrower')
    if (permit !== undefined) this.rowOf('borrower').share.release(permit)
    return permit !== undefined
  }

  /** Compares counts instead of admitting a trial request, because a lender that has just admitted a request does not lend for a while. */
  canLenderAdmit (): boolean {
    const { share } = this.rowOf('lender')
    share.advance(this.nowMs)
    return share.computeOwnAmount(this.nowMs).short > share.inFlight
  }

  admit (at: 'lender' | 'borrower'): void {
    const permit = this.tryAdmit(at)!
    const { share } = this.rowOf(at)
    this.requestsInFlight.push({ at, endsAtMs: this.nowMs + shareLimits.shortRequestMs, release: () => share.release(permit) })
  }

  end (at: 'lender' | 'borrower'): void {
    for (const request of this.requestsInFlight) if (request.at === at) request.release()
    this.requestsInFlight = this.requestsInFlight.filter((request) => request.at !== at)
  }

  crash (): void {
    this.requestsInFlight = this.requestsInFlight.filter(({ at }) => at !== 'lender')
  }

  restart (): void {
    this.incarnation += 1
    this.lender = this.createTable(lenderName, this.nowMs)
  }

  request (seq: number): void {
    const row = this.rowOf('borrower')
    row.unansweredSinceMs.clear()
    row.backoffs.clear()
    row.share.queued = 1
    row.share.blockingLimit = 'permit'
    const [request] = this.borrower.planLoanRequests(row, this.nowMs)
    row.share.queued = 0
    this.requests.set(seq, { ...request!.message, ask: createAmount({ short: 1 }) })
  }

  timeOut (seq: number): void {
    this.borrower.recordRequestFailure(this.rowOf('borrower'), lenderName, this.requests.get(seq)!.seq, this.nowMs)
  }

  returnLoan (seq: number): void {
    const row = this.rowOf('borrower')
    for (const loan of row.share.borrowed.listAll()) loan.amount = createAmount()
    this.returns.set(seq, this.borrower.createStatement(row, lenderName))
  }

  /** Delivers a loan request; returns true when the permit was lent. */
  deliverRequest (seq: number): boolean {
    const grant = this.lender.lend(this.requests.get(seq)!, { name: borrowerName, incarnation: 1 }, this.nowMs)
    if (grant === undefined || grant.amount.short === 0) return false
    this.grants.set(seq, grant)
    return true
  }

  deliverGrant (seq: number): void {
    this.borrower.applyGrant(this.rowOf('borrower'), lenderName, this.requests.get(seq)!.seq, this.grants.get(seq)!, this.nowMs)
  }

  deliverReturn (seq: number): void {
    this.lender.applyStatement(this.returns.get(seq)!, { name: borrowerName, incarnation: 1 }, this.nowMs)
  }

  private tryAdmit (at: 'lender' | 'borrower'): Permit | undefined {
    const taken = this.rowOf(at).share.tryAdmit(this.nowMs, this.nowMs + shareLimits.shortRequestMs)
    return typeof taken === 'string' ? undefined : taken
  }
}

const spec = createLoanSpec(undefined, {
  loan: shareLimits.loanMs, valid: loanValidityMs, request: shareLimits.shortRequestMs, last: Infinity, messages: 4, loanRequests: Infinity
})

/** Advances the time of the specification by many ticks at once. */
function advanceSpec (state: LoanState, ms: number): LoanState {
  const t = state.t + ms
  const isOpen = (deadline: number): boolean => deadline > t
  return { ...state, t, lenderDeadlines: state.lenderDeadlines.filter(isOpen), borrowerDeadlines: state.borrowerDeadlines.filter(isOpen) }
}

/** Applies one step to the real tables; returns false when the lender declined a loan that the specification allows. */
function applyStep (real: RealPair, before: LoanState, label: string, after: LoanState): boolean {
  const message = label.endsWith('repeat') ? after.messages.at(-1) : before.messages.find((sent) => !after.messages.includes(sent))
  const held = before.held?.seq ?? 0
  if (label === 'lender admits') real.admit('lender')
  else if (label === 'lender ends') real.end('lender')
  else if (label === 'lender crashes') real.crash()
  else if (label === 'lender restarts') real.restart()
  else if (label === 'request') real.request(after.seq)
  else if (label === 'time out') real.timeOut(before.awaited!)
  else if (label === 'borrower admits') real.admit('borrower')
  else if (label === 'borrower ends') real.end('borrower')
  else if (label === 'return loan') real.returnLoan(held)
  else if (message !== undefined && label.startsWith('deliver')) return deliver(real, before, message, after)
  return true
}

function deliver (real: RealPair, before: LoanState, { kind, seq }: LoanState['messages'][number], after: LoanState): boolean {
  if (kind === 'grant') real.deliverGrant(seq)
  else if (!before.lenderUp) return true
  else if (kind === 'return') real.deliverReturn(seq)
  else {
    const isLent = after.messages.filter((sent) => sent.kind === 'grant').length > before.messages.filter((sent) => sent.kind === 'grant').length
    const isReallyLent = real.deliverRequest(seq)
    expect(isReallyLent && !isLent).toEqual(false)
    return isLent === isReallyLent
  }
  return true
}

const stepPicks = fc.array(fc.record({ pick: fc.nat({ max: 1_000 }), ms: fc.oneof({ weight: 6, arbitrary: fc.constant(0) }, { weight: 3, arbitrary: fc.nat({ max: 800 }) }, fc.constantFrom(2_769, 2_770, 3_000, 10_000, 13_000)) }), { maxLength: 60, size: 'max' })

// Guards against an implementation that lends, takes back or uses a permit where the specification does not.
test('the implementation of loans follows the specification', () => {
  let compared = 0
  let borrowed = 0
  fc.assert(fc.property(stepPicks, (steps) => {
    const real = new RealPair()
    let state: LoanState = { ...spec.initial, faults: 3 }
    for (const { pick, ms } of steps) {
      real.advance(ms)
      state = advanceSpec(state, ms)
      const options = [...spec.next(state)].filter(([label]) => label !== 'tick')
      const [label, after] = options[pick % options.length]!
      const isAccepted = applyStep(real, state, label, after)
      // A lender may decline a loan; the specification then continues without it.
      state = isAccepted ? after : { ...after, lent: null, messages: after.messages.filter(({ kind, seq }) => kind !== 'grant' || seq !== after.lent?.seq) }
      if (state.lenderUp) expect(real.canLenderAdmit()).toEqual([...spec.next(state)].some(([next]) => next === 'lender admits'))
      const canBorrow = [...spec.next(state)].some(([next]) => next === 'borrower admits')
      expect(real.canBorrowerAdmit()).toEqual(canBorrow)
      compared += 1
      if (canBorrow) borrowed += 1
    }
  }), { seed: 7, numRuns: 1_500 })
  expect(compared).toBeGreaterThan(10_000)
  expect(borrowed).toBeGreaterThan(500)
})

/** The record of one key at its home, as the specification of claims has it. */
interface KeyState {
  row: { claim: number, state: 'running' | 'done' | 'unknown', sinceMs: number, endsAtMs: number } | undefined
  readonly released: Set<number>
}

const claimStep = fc.record({
  kind: fc.constantFrom('claim', 'notRun', 'done', 'unknown', 'running', 'wait', 'gone'),
  claim: fc.nat({ max: 5 }),
  ms: fc.constantFrom(0, 10, 2_000, 6_000, claimLimits.recordRetentionMs - 1, claimLimits.recordRetentionMs)
})

function claimBySpec (key: KeyState, claim: number, nowMs: number): string {
  if (key.row !== undefined) return key.row.state === 'running' && key.row.claim === claim ? 'granted' : key.row.state
  if (key.released.has(claim)) return 'incomplete'
  key.row = { claim, state: 'running', sinceMs: nowMs, endsAtMs: nowMs + 1_000 + claimLimits.deadlineGraceMs }
  return 'granted'
}

function settleBySpec (key: KeyState, claim: number, outcome: 'notRun' | 'done' | 'unknown' | 'running', nowMs: number): void {
  const { row } = key
  const isOwn = row?.claim === claim
  if (outcome === 'notRun' && !(isOwn && row.state === 'done')) key.released.add(claim)
  if (!isOwn || row.state === 'done' || outcome === 'running') return
  if (outcome === 'notRun') key.row = undefined
  else if (row.state !== outcome) key.row = { ...row, state: outcome, sinceMs: nowMs }
}

// Guards against a home that grants a claim where the specification refuses it.
test('the implementation of claims follows the specification', () => {
  fc.assert(fc.property(fc.array(claimStep, { maxLength: 40 }), (steps) => {
    const table = new ClaimTable()
    const key: KeyState = { row: undefined, released: new Set() }
    let nowMs = 0
    for (const { kind, claim, ms } of steps) {
      const claimId = String(claim)
      const executor = { host: 'a1', incarnation: claim }
      if (kind === 'wait') {
        nowMs += ms
        if (key.row !== undefined && key.row.state !== 'running' && nowMs - key.row.sinceMs >= claimLimits.recordRetentionMs) key.row = undefined
        if (key.row?.state === 'running' && nowMs >= key.row.endsAtMs) key.row = { ...key.row, state: 'unknown', sinceMs: nowMs }
        table.sweep(nowMs)
      } else if (kind === 'gone') {
        if (key.row?.state === 'running' && key.row.claim < claim) key.row = { ...key.row, state: 'unknown', sinceMs: nowMs }
        table.settleGone(({ incarnation }) => incarnation < claim, nowMs)
      } else if (kind === 'claim') {
        const request = { id: 'k', customer: 'gyms', key: 'k', fingerprint: 'f', claimId, executor, remainingMs: 1_000, complete: true }
        expect(table.claim(request, nowMs).kind).toEqual(claimBySpec(key, claim, nowMs) as 'granted')
      } else {
        settleBySpec(key, claim, kind, nowMs)
        table.settle('k', claimId, { outcome: kind }, nowMs)
      }
      expect(table.get('k')?.state).toEqual(key.row?.state)
    }
  }), { seed: 8, numRuns: 3_000 })
})
