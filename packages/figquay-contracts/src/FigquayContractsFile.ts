/** Reads a deployment file and turns it into documents. */
import { z } from 'zod'
import { makeFailure, makeSuccess, parseJsonc, type Outcome, type TextProblem } from 'figquay'
import { checkDeployment } from './FigquayContractsCheck.js'
import { deploymentSchema, type DeploymentSource } from './FigquayContractsSchema.js'

/** Kinds of document. */
export type DocumentType = 'pool' | 'model' | 'service' | 'contract' | 'policy'

/** A document as it stands in the log: named, in source form. */
export interface DocumentSource {
  /** `type/name`, such as `contract/workshop-cairo`. */
  readonly key: string
  readonly body: unknown
}

const sourceSchema = deploymentSchema.superRefine((deployment, context) => {
  for (const problem of checkDeployment(deployment)) {
    context.addIssue({ code: 'custom', path: [...problem.path], message: problem.message })
  }
})

/**
 * Lists the documents of a deployment in source form.
 *
 * @example
 * listDocuments(source).map((document) => document.key)
 */
export function listDocuments (source: DeploymentSource): DocumentSource[] {
  return [
    ...source.pools.map((body) => ({ key: `pool/${body.name}`, body })),
    ...source.models.map((body) => ({ key: `model/${body.name}`, body })),
    ...source.services.map((body) => ({ key: `service/${body.name}`, body })),
    ...source.contracts.map((body) => ({ key: `contract/${body.customer}`, body })),
    { key: 'policy/placement', body: source.policy }
  ]
}

/**
 * Parses a deployment file; every problem has its line and column.
 *
 * @example
 * const outcome = parseDeployment(await readFile('guild.jsonc', 'utf8'))
 */
export function parseDeployment (text: string): Outcome<DeploymentSource, TextProblem[]> {
  const checked = parseJsonc(text, sourceSchema)
  if (!checked.ok) return makeFailure(checked.error)
  const source = parseJsonc(text, z.unknown())
  return source.ok ? makeSuccess(source.value as DeploymentSource) : makeFailure(source.error)
}
