/** Parsing of JSON with comments against a schema; each problem has a line and a column. */
import { findNodeAtLocation, parseTree, printParseErrorCode, type Node, type ParseError, getNodeValue } from 'jsonc-parser'
import type { z } from 'zod'
import { makeFailure, makeSuccess, type Outcome } from './FigquayOutcome.js'

/** A problem in a text, with its location. */
export interface TextProblem {
  /** 1-based line number. */
  readonly line: number
  /** 1-based column number. */
  readonly column: number
  /** Path in the document, such as `contracts.0.keys`. */
  readonly path: string
  /** Description of the problem, such as what was expected. */
  readonly message: string
}

type PathSegments = ReadonlyArray<string | number>

/** Converts an offset to a line and a column. */
function locateOffset (text: string, offset: number): { line: number, column: number } {
  const precedingLines = text.slice(0, offset).split('\n')
  return { line: precedingLines.length, column: precedingLines.at(-1)!.length + 1 }
}

/** Finds the node at a path, or the nearest enclosing node that exists. */
function findNearestNode (root: Node, path: PathSegments): Node {
  for (let length = path.length; length > 0; length--) {
    const node = findNodeAtLocation(root, path.slice(0, length))
    if (node !== undefined) return node
  }
  return root
}

/** Makes a problem located at a path. */
function makeProblem (text: string, root: Node, path: PathSegments, message: string): TextProblem {
  return { ...locateOffset(text, findNearestNode(root, path).offset), path: path.join('.'), message }
}

/** Converts a schema issue to problems: one for each unknown key, otherwise a single one. */
function expandIssue (text: string, root: Node, issue: z.core.$ZodIssue): TextProblem[] {
  const path = issue.path as Array<string | number>
  if (issue.code !== 'unrecognized_keys') return [makeProblem(text, root, path, issue.message)]
  return issue.keys.map((key) => makeProblem(text, root, [...path, key], `unknown key "${key}"`))
}

/** Finds duplicate keys of an object, at any depth; a JSON parser would silently keep the last one. */
function findDuplicateKeys (text: string, node: Node, path: PathSegments): TextProblem[] {
  const children = node.children ?? []
  if (node.type === 'array') return children.flatMap((child, index) => findDuplicateKeys(text, child, [...path, index]))
  if (node.type !== 'object') return []
  const seenKeys = new Set<string>()
  return children.flatMap((property) => {
    const [keyNode, valueNode] = property.children ?? []
    const key = String(keyNode?.value)
    const isDuplicate = seenKeys.has(key)
    seenKeys.add(key)
    const nestedProblems = valueNode === undefined ? [] : findDuplicateKeys(text, valueNode, [...path, key])
    if (!isDuplicate) return nestedProblems
    return [{ ...locateOffset(text, property.offset), path: [...path, key].join('.'), message: `duplicate key "${key}"` }, ...nestedProblems]
  })
}

/** Validates a document and returns the parsed value, or all problems. */
function checkSchema<S extends z.ZodType> (text: string, root: Node, schema: S): Outcome<z.output<S>, TextProblem[]> {
  const result = schema.safeParse(getNodeValue(root))
  if (result.success) return makeSuccess(result.data)
  return makeFailure(result.error.issues.flatMap((issue) => expandIssue(text, root, issue)))
}

/**
 * Parses JSON with comments and validates it. Returns the whole document, or all problems found.
 *
 * @example
 * const outcome = parseJsonc('{ "port": 80 } // http', z.strictObject({ port: z.number() }))
 */
export function parseJsonc<S extends z.ZodType> (text: string, schema: S): Outcome<z.output<S>, TextProblem[]> {
  const errors: ParseError[] = []
  const root = parseTree(text, errors, { allowTrailingComma: true })
  if (root === undefined || errors.length > 0) {
    const syntaxProblems = errors.map((error) => ({ ...locateOffset(text, error.offset), path: '', message: printParseErrorCode(error.error) }))
    return makeFailure(syntaxProblems.length > 0 ? syntaxProblems : [{ line: 1, column: 1, path: '', message: 'expected a JSON document' }])
  }
  const duplicates = findDuplicateKeys(text, root, [])
  return duplicates.length > 0 ? makeFailure(duplicates) : checkSchema(text, root, schema)
}

/**
 * Formats a problem in the style of compilers.
 *
 * @example
 * formatProblem('a.jsonc', problem) // 'a.jsonc:3:5: contracts.0.keys: expected array'
 */
export function formatProblem (file: string, problem: TextProblem): string {
  const path = problem.path === '' ? '' : `${problem.path}: `
  return `${file}:${problem.line}:${problem.column}: ${path}${problem.message}`
}
