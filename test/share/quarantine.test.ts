import { test } from 'node:test'
import { expect } from 'earl'
import { createMember } from '../support/createMember.js'
import { ShareTable } from '../../src/share/ShareTable.js'
import { createContract, createDoc, hostNames } from '../model/createDoc.js'

const incarnation = 5

/** Creates the table of a restarted host that has received all announcements; `holder` still holds a loan of the earlier process. */
function createRestartedTable (holder?: string): ShareTable {
  const table = new ShareTable({ host: 'a1', incarnation, startedMs: 0 })
  table.setConfig(createDoc({ contracts: [createContract()] }), 0)
  const members = hostNames.map((host) => createMember(host))
  table.setView({ seq: 1, contactAgeMs: 0, configVersion: 1, isFirstStart: false, members, leavingEndpoints: [], leavingHosts: [] }, 0)
  for (const name of hostNames.filter((host) => host !== 'a1')) {
    table.applyAnnouncement(
      { t: 'loan_return', to: incarnation, rows: [], complete: true, holdsNothing: name !== holder }, { name, incarnation: 1 }, 100
    )
  }
  return table
}

function admit (table: ShareTable, nowMs: number): unknown {
  return table.open('gyms', nowMs)!.share.tryAdmit(nowMs, nowMs + 1_000)
}

// Guards against refusing every request for the whole quarantine when all hosts start anew and none holds a loan.
test('the quarantine ends when no host holds anything', () => {
  expect(typeof admit(createRestartedTable(), 2_000)).toEqual('object')
})

// Guards against a restarted lender that uses permits which a borrower still has in flight.
test('the quarantine lasts while a host holds a loan', () => {
  const table = createRestartedTable('b1')
  expect([admit(table, 2_000), admit(table, 12_900)]).toEqual(['quarantine', 'quarantine'])
  expect(typeof admit(table, 13_100)).toEqual('object')
})

// Guards against a borrower that keeps using loans of a lender's earlier process, or never reports that it holds none.
test('a borrower returns loans of an earlier process and reports when none is left', () => {
  const borrower = new ShareTable({ host: 'b1', incarnation: 1, startedMs: -60_000 })
  borrower.setConfig(createDoc({ contracts: [createContract()] }), 0)
  const { share } = borrower.open('gyms', 0)!
  borrower.applyStatement({ t: 'loan_return', customer: 'gyms', settledSeq: 0, held: [] }, { name: 'a1', incarnation: 1 }, 0)
  borrower.recordAnnouncementSent('a1', 1, true)
  share.borrow('a1', 1, { rate: 5, burst: 5, short: 2, long: 0, upload: 0 }, 0, 0)
  const used = share.tryAdmit(10, 1_000)
  if (typeof used === 'string') throw new Error(`not admitted: ${used}`)
  borrower.applyStatement({ t: 'loan_return', customer: 'gyms', settledSeq: 0, held: [] }, { name: 'a1', incarnation: 2 }, 20)
  const announced = (): boolean | undefined => borrower.listAnnouncements().get('a1')?.[0]?.holdsNothing
  const firstAnnounced = announced()
  borrower.recordAnnouncementSent('a1', 2, false)
  const whileUsed = announced()
  share.release(used)
  share.advance(30)
  expect([used.kind, firstAnnounced, whileUsed, announced()]).toEqual(['short', false, undefined, true])
})
