import type { Result } from 'neverthrow'
import type { Deployment } from '../model/Deployment.js'
import { checkDeployment } from './checkDeployment.js'
import type { ConfigProblem } from './ConfigProblem.js'
import { deploymentSchema } from './deploymentSchema.js'
import { parseText } from './parseText.js'
import { validateValue } from './validateValue.js'

/** Parses the text of a deployment file; `file` is the name in reported problems. */
export function parseDeployment (text: string, file: string): Result<Deployment, ConfigProblem[]> {
  return parseText(text, file, (value) => validateValue(deploymentSchema, checkDeployment, value))
}
