import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { createFailure } from '../common/createFailure.js'
import type { Failure } from '../common/Failure.js'
import { checkContractServices } from '../config/checkContractServices.js'
import { formatProblem } from '../config/formatProblem.js'
import type { ConfigDoc } from '../model/ConfigDoc.js'
import type { Contract } from '../model/Contract.js'
import type { AppliedChange } from './AppliedChange.js'
import { capFields } from './capFields.js'
import type { ChangeContext } from './ChangeContext.js'
import { checkCapGuarantee } from './checkCapGuarantee.js'
import type { ConfigChange } from './ConfigChange.js'
import { describeConflict } from './describeConflict.js'
import { updatePriorCaps } from './updatePriorCaps.js'

type ContractChange = Extract<ConfigChange, { kind: 'putContract' | 'deleteContract' }>

const noCap = { rate: 0, burst: 0, concurrency: 0, uploadBytesPerSecond: 0 } as const

/** Creates, replaces or deletes a contract; `expectVersion` is compared with the version of that contract only. */
export function applyContractChange (base: ConfigDoc, change: ContractChange, context: ChangeContext): Result<AppliedChange, Failure> {
  const customer = change.kind === 'putContract' ? change.contract.customer : change.customer
  const item = `contract ${customer}`
  const current = base.contracts.find((contract) => contract.customer === customer)
  if (current === undefined && change.kind === 'deleteContract') return err(createFailure('unknownItem', { message: `There is no ${item}.` }))
  const actual = current?.version ?? 0
  if (actual !== change.expectVersion) return err(describeConflict(item, { expected: change.expectVersion, actual }, context.log))
  if (change.kind === 'deleteContract') return deleteContract(base, customer, current, context)
  return putContract(base, { ...change.contract, version: base.version + 1 }, current, context)
}

/** Adds or replaces a contract. Its version is the new configuration version, so that a recreated contract never reuses a version. */
function putContract (base: ConfigDoc, contract: Contract, current: Contract | undefined, context: ChangeContext): Result<AppliedChange, Failure> {
  const [problem] = checkContractServices(contract, base.services)
  if (problem !== undefined) return err(createFailure('invalidDocument', { message: `The contract is not valid at ${formatProblem(problem)}.` }))
  return checkCapGuarantee(base, { customer: contract.customer, current, next: contract }, context).map(() => {
    const contracts = [...base.contracts.filter(({ customer }) => customer !== contract.customer), contract]
    contracts.sort((a, b) => a.customer < b.customer ? -1 : 1)
    const replaced = current !== undefined && capFields.some(({ field }) => current[field] !== contract[field]) ? [current] : []
    return {
      doc: { ...base, version: base.version + 1, contracts, priorCaps: updatePriorCaps(base, replaced, context.reachability) },
      change: `contract ${contract.customer}: ${describeChange(current, contract)}`
    }
  })
}

function deleteContract (base: ConfigDoc, customer: string, current: Contract | undefined, context: ChangeContext): Result<AppliedChange, Failure> {
  return checkCapGuarantee(base, { customer, current, next: noCap }, context).andThen(() => ok({
    doc: {
      ...base,
      version: base.version + 1,
      contracts: base.contracts.filter((contract) => contract.customer !== customer),
      priorCaps: updatePriorCaps(base, current === undefined ? [] : [current], context.reachability)
    },
    change: `contract ${customer}: deleted`
  }))
}

function describeChange (current: Contract | undefined, next: Contract): string {
  if (current === undefined) return 'created'
  const parts = Object.entries(next)
    .filter(([key, value]) => key !== 'version' && JSON.stringify(value) !== JSON.stringify(current[key as keyof Contract]))
    .map(([key, value]) => typeof value === 'number' ? `${key} ${String(current[key as keyof Contract])} -> ${value}` : `${key} changed`)
  return parts.length === 0 ? 'no change' : parts.join(', ')
}
