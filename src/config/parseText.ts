import { createScanner, findNodeAtLocation, getNodeValue, parseTree, printParseErrorCode } from 'jsonc-parser'
import type { Node, ParseError } from 'jsonc-parser'
import { err } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { ConfigIssue } from './ConfigIssue.js'
import type { ConfigProblem } from './ConfigProblem.js'
import { formatKeyPath } from './formatKeyPath.js'

/** Maximum nesting, deeper than any valid document has. The parser is recursive, so deep input would exhaust the stack. */
const maxDepth = 64

/** Token kinds of jsonc-parser, whose own table is a const enum that isolated modules can't read. */
const tokens = { openBrace: 1, closeBrace: 2, openBracket: 3, closeBracket: 4, end: 17 } as const

/**
 * Parses JSON with comments and validates the value.
 * Fails with all problems, each with its line and column; after a syntax error only syntax errors are reported.
 */
export function parseText<T> (text: string, file: string, validate: (value: unknown) => Result<T, ConfigIssue[]>): Result<T, ConfigProblem[]> {
  if (isTooDeep(text)) return err([{ file, path: '', message: `brackets are nested more than ${maxDepth} deep` }])
  const errors: ParseError[] = []
  const tree = parseTree(text, errors, { allowTrailingComma: true })
  if (tree === undefined && errors.length === 0) return err([{ file, line: 1, column: 1, path: '', message: 'the document is empty' }])
  if (tree === undefined || errors.length > 0) {
    return err(errors.map(({ error, offset }) => ({ file, ...locate(text, offset), path: '', message: `not valid JSON: ${describeSyntax(printParseErrorCode(error))}` })))
  }
  const duplicateKeys = findDuplicateKeys(tree)
  const result = validate(getNodeValue(tree))
  const issues = [...duplicateKeys, ...(result.isErr() ? result.error : [])]
  if (result.isOk() && issues.length === 0) return result as Result<T, never>
  return err(issues.map((issue) => addPosition(text, file, tree, issue)))
}

function isTooDeep (text: string): boolean {
  const scanner = createScanner(text, true)
  let depth = 0
  for (let token: number = scanner.scan(); token !== tokens.end && depth <= maxDepth; token = scanner.scan()) {
    if (token === tokens.openBrace || token === tokens.openBracket) depth += 1
    if (token === tokens.closeBrace || token === tokens.closeBracket) depth -= 1
  }
  return depth > maxDepth
}

function describeSyntax (code: string): string {
  return code.replace(/([A-Z])/g, ' $1').trim().toLowerCase()
}

function locate (text: string, offset: number): { line: number, column: number } {
  const lines = text.slice(0, offset).split(/\r\n|\r|\n/)
  return { line: lines.length, column: lines.at(-1)!.length + 1 }
}

function addPosition (text: string, file: string, tree: Node, issue: ConfigIssue): ConfigProblem {
  return { file, ...locate(text, findNearestNode(tree, issue.keys).offset), path: formatKeyPath(issue.keys), message: issue.message }
}

/** Returns the property or array element at `keys`, or its nearest existing ancestor when it is missing. */
function findNearestNode (tree: Node, keys: readonly (string | number)[]): Node {
  for (let length = keys.length; length > 0; length--) {
    const node = findNodeAtLocation(tree, keys.slice(0, length))
    if (node !== undefined) return node.parent?.type === 'property' ? node.parent : node
  }
  return tree
}

function findDuplicateKeys (node: Node, keys: readonly (string | number)[] = []): ConfigIssue[] {
  const children = node.children ?? []
  if (node.type === 'array') return children.flatMap((child, index) => findDuplicateKeys(child, [...keys, index]))
  if (node.type !== 'object') return []
  const seen = new Set<string>()
  return children.flatMap((property) => {
    const [keyNode, valueNode] = property.children ?? []
    const key = String(keyNode?.value)
    const issues = seen.has(key) ? [{ keys: [...keys, key], message: 'the key is duplicated' }] : []
    seen.add(key)
    return valueNode === undefined ? issues : [...issues, ...findDuplicateKeys(valueNode, [...keys, key])]
  })
}
