/** JSON with comments, checked against a schema; each problem says where it is. */
import { findNodeAtLocation, parseTree, printParseErrorCode, type Node, type ParseError, getNodeValue } from 'jsonc-parser'
import type { z } from 'zod'
import { makeFailure, makeSuccess, type Outcome } from './FigquayOutcome.js'

/** One problem in a text, with its place. */
export interface TextProblem {
  /** First line is 1. */
  readonly line: number
  /** First column is 1. */
  readonly column: number
  /** Path within the document, such as `contracts.0.keys`. */
  readonly path: string
  /** What was expected. */
  readonly message: string
}

type PathSegments = ReadonlyArray<string | number>

/** Turns an offset into a line and a column. */
function locateOffset (text: string, offset: number): { line: number, column: number } {
  const before = text.slice(0, offset).split('\n')
  return { line: before.length, column: before.at(-1)!.length + 1 }
}

/** Finds the node of a path, or its nearest enclosing node. */
function findNearestNode (root: Node, path: PathSegments): Node {
  for (let length = path.length; length > 0; length--) {
    const node = findNodeAtLocation(root, path.slice(0, length))
    if (node !== undefined) return node
  }
  return root
}

/** Makes a problem that points at a path. */
function makeProblem (text: string, root: Node, path: PathSegments, message: string): TextProblem {
  return { ...locateOffset(text, findNearestNode(root, path).offset), path: path.join('.'), message }
}

/** Expands one schema issue: each unknown key becomes a problem of its own. */
function expandIssue (text: string, root: Node, issue: z.core.$ZodIssue): TextProblem[] {
  const path = issue.path as Array<string | number>
  if (issue.code !== 'unrecognized_keys') return [makeProblem(text, root, path, issue.message)]
  return issue.keys.map((key) => makeProblem(text, root, [...path, key], `unknown key "${key}"`))
}

/** Lists keys that one object states twice; JSON would keep the last silently. */
function findDoubledKeys (text: string, node: Node, path: PathSegments): TextProblem[] {
  const children = node.children ?? []
  if (node.type === 'array') return children.flatMap((child, index) => findDoubledKeys(text, child, [...path, index]))
  if (node.type !== 'object') return []
  const seen = new Set<string>()
  return children.flatMap((property) => {
    const [keyNode, valueNode] = property.children ?? []
    const key = String(keyNode?.value)
    const doubled = seen.has(key)
    seen.add(key)
    const inner = valueNode === undefined ? [] : findDoubledKeys(text, valueNode, [...path, key])
    if (!doubled) return inner
    return [{ ...locateOffset(text, property.offset), path: [...path, key].join('.'), message: `key "${key}" stands twice` }, ...inner]
  })
}

/** Lists what the schema finds wrong, or the parsed value. */
function checkSchema<S extends z.ZodType> (text: string, root: Node, schema: S): Outcome<z.output<S>, TextProblem[]> {
  const result = schema.safeParse(getNodeValue(root))
  if (result.success) return makeSuccess(result.data)
  return makeFailure(result.error.issues.flatMap((issue) => expandIssue(text, root, issue)))
}

/**
 * Parses JSON with comments and checks it; either the whole document or every problem.
 *
 * @example
 * const outcome = parseJsonc('{ "port": 80 } // http', z.strictObject({ port: z.number() }))
 */
export function parseJsonc<S extends z.ZodType> (text: string, schema: S): Outcome<z.output<S>, TextProblem[]> {
  const errors: ParseError[] = []
  const root = parseTree(text, errors, { allowTrailingComma: true })
  if (root === undefined || errors.length > 0) {
    const syntax = errors.map((error) => ({ ...locateOffset(text, error.offset), path: '', message: printParseErrorCode(error.error) }))
    return makeFailure(syntax.length > 0 ? syntax : [{ line: 1, column: 1, path: '', message: 'expected a JSON document' }])
  }
  const doubled = findDoubledKeys(text, root, [])
  return doubled.length > 0 ? makeFailure(doubled) : checkSchema(text, root, schema)
}

/**
 * Writes a problem the way compilers do.
 *
 * @example
 * formatProblem('a.jsonc', problem) // 'a.jsonc:3:5: contracts.0.keys: expected array'
 */
export function formatProblem (file: string, problem: TextProblem): string {
  const path = problem.path === '' ? '' : `${problem.path}: `
  return `${file}:${problem.line}:${problem.column}: ${path}${problem.message}`
}
