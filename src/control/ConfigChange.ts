import type { Contract } from '../model/Contract.js'
import type { Deployment } from '../model/Deployment.js'
import type { DrainKind } from '../model/DrainKind.js'

/** A change that an operator requests. */
export type ConfigChange =
  | { readonly kind: 'deployment', readonly deployment: Deployment, readonly expectVersion: number | undefined, readonly force: boolean }
  /** `expectVersion` is the contract version that the operator read; 0 for a new contract. */
  | { readonly kind: 'putContract', readonly contract: Contract, readonly expectVersion: number }
  | { readonly kind: 'deleteContract', readonly customer: string, readonly expectVersion: number }
  | { readonly kind: 'addDrain', readonly drain: DrainKind, readonly name: string, readonly force: boolean }
  | { readonly kind: 'removeDrain', readonly drain: DrainKind, readonly name: string }
