import type { Result } from 'neverthrow'
import type { Deployment } from '../model/Deployment.js'
import { checkDeployment } from './checkDeployment.js'
import type { ConfigProblem } from './ConfigProblem.js'
import { deploymentSchema } from './deploymentSchema.js'
import { toProblems } from './toProblems.js'
import { validateValue } from './validateValue.js'

/** Validates a deployment document that was not read from a file, and fills in defaults. */
export function validateDeployment (value: unknown): Result<Deployment, ConfigProblem[]> {
  return validateValue(deploymentSchema, checkDeployment, value).mapErr(toProblems)
}
