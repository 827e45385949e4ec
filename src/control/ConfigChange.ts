import type { Contract } from '../model/Contract.js'
import type { Deployment } from '../model/Deployment.js'
import type { DrainKind } from '../model/DrainKind.js'

/** A change that an operator asks for. */
export type ConfigChange =
  | { readonly kind: 'deployment', readonly deployment: Deployment, readonly expectVersion: number | undefined, readonly force: boolean }
  /** `expectVersion` is the version of the contract that the operator saw; 0 for a new one. */
  | { readonly kind: 'putContract', readonly contract: Contract, readonly expectVersion: number }
  | { readonly kind: 'deleteContract', readonly customer: string, readonly expectVersion: number }
  | { readonly kind: 'addDrain', readonly drain: DrainKind, readonly name: string, readonly force: boolean }
  | { readonly kind: 'removeDrain', readonly drain: DrainKind, readonly name: string }
