/** Parses deployment files and splits deployments into documents. */
import { z } from 'zod'
import { makeFailure, makeSuccess, parseJsonc, type Outcome, type TextProblem } from 'figquay'
import { checkDeployment } from './FigquayContractsCheck.js'
import { deploymentSchema, type DeploymentSource } from './FigquayContractsSchema.js'

export type DocumentType = 'pool' | 'model' | 'service' | 'contract' | 'policy'

/** A document as stored in the log: its key, and its body in source form. */
export interface DocumentSource {
  /** `type/name`, such as `contract/workshop-cairo`. */
  readonly key: string
  readonly body: unknown
}

const validatedDeploymentSchema = deploymentSchema.superRefine((deployment, context) => {
  for (const problem of checkDeployment(deployment)) {
    context.addIssue({ code: 'custom', path: [...problem.path], message: problem.message })
  }
})

/**
 * Splits a deployment into its documents, in source form.
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
 * Parses and validates a deployment file; every problem has a line and column.
 *
 * @example
 * const outcome = parseDeployment(await readFile('guild.jsonc', 'utf8'))
 */
export function parseDeployment (text: string): Outcome<DeploymentSource, TextProblem[]> {
  const validated = parseJsonc(text, validatedDeploymentSchema)
  if (!validated.ok) return makeFailure(validated.error)
  const source = parseJsonc(text, z.unknown())
  return source.ok ? makeSuccess(source.value as DeploymentSource) : makeFailure(source.error)
}
