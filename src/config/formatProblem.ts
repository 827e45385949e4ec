import type { ConfigProblem } from './ConfigProblem.js'

/** Formats a problem as `file:line:column: path: message`, without the parts that are undefined or empty. */
export function formatProblem (problem: ConfigProblem): string {
  const { file, line, column, path, message } = problem
  const position = [file, line, column].filter((part) => part !== undefined).join(':')
  return [position, path, message].filter((part) => part !== '').join(': ')
}
