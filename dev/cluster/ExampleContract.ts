import type { Contract } from '../../src/model/Contract.js'

/** A contract as operators write it, without the version that the system gives it. */
export type ExampleContract = Omit<Contract, 'version'>
