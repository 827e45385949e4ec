import { test } from 'node:test'
import { expect } from 'earl'
import { claimLimits } from '../../src/claim/claimLimits.js'
import { ClaimTable } from '../../src/claim/ClaimTable.js'

const executor = { host: 'a1', incarnation: 1 }

function claim (table: ClaimTable, key: string, customer = 'gyms', nowMs = 0): string {
  return table.claim({ id: `${customer}/${key}`, customer, key, fingerprint: 'f', claimId: key, executor, remainingMs: 1_000, complete: true }, nowMs).kind
}

function settle (table: ClaimTable, key: string, bytes: number, nowMs = 0): void {
  table.settle(`gyms/${key}`, key, { outcome: 'done', answer: { status: 200, headers: {}, body: new Uint8Array(bytes) } }, nowMs)
}

// Guards against evicting a claim when the table is full, which would let its key run again.
test('answers are dropped before claims, and a full table refuses new claims', () => {
  const table = new ClaimTable({ maxClaims: 3, maxClaimsPerCustomer: 2, maxAnswerBytes: 150 })
  for (const key of ['1', '2']) {
    expect(claim(table, key)).toEqual('granted')
    settle(table, key, 100)
  }
  expect([table.size, table.bytes]).toEqual([2, 100])
  expect([claim(table, '1'), claim(table, '2')]).toEqual(['done', 'done'])
  expect([table.get('gyms/1')?.answer, table.get('gyms/2')?.answer?.body.length]).toEqual([undefined, 100])
  expect([claim(table, '3'), claim(table, '3', 'clubs'), claim(table, '4', 'clubs')]).toEqual(['full', 'granted', 'full'])
})

// Guards against records that are never removed, and against removing a key while callers may repeat it.
test('settled keys are removed after their retention time', () => {
  const table = new ClaimTable()
  claim(table, '1')
  settle(table, '1', 10, 100)
  table.sweep(100 + claimLimits.recordRetentionMs - 1)
  expect(table.size).toEqual(1)
  table.sweep(100 + claimLimits.recordRetentionMs)
  expect([table.size, table.bytes]).toEqual([0, 0])
})

// Guards against a late or repeated message that grants or releases the claim of another process.
test('late and repeated messages change nothing', () => {
  const table = new ClaimTable()
  table.settle('gyms/1', '1', { outcome: 'notRun' }, 0)
  expect(claim(table, '1')).toEqual('incomplete')
  claim(table, '2')
  table.settle('gyms/2', 'other', { outcome: 'notRun' }, 0)
  expect(table.get('gyms/2')?.state).toEqual('running')
})

// Guards against keys that stay running for ever after their executor has failed.
test('keys of dead or overdue executors become unknown', () => {
  const table = new ClaimTable()
  claim(table, '1')
  claim(table, '2')
  expect(table.settleGone(({ incarnation }) => incarnation < 1, 0)).toEqual([])
  expect(table.sweep(1_000 + claimLimits.deadlineGraceMs)).toEqual(['gyms/1', 'gyms/2'])
  expect(claim(table, '1')).toEqual('unknown')
})
