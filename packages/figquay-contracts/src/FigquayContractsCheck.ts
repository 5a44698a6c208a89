/** Validation across documents: references must resolve, names and keys must be unique, models must fit their pool. */
import type { Deployment, Model, ModelRequestKind } from './FigquayContractsSchema.js'

/** One inconsistency between documents. */
export interface DeploymentProblem {
  readonly path: ReadonlyArray<string | number>
  readonly message: string
}

/** Reports each item whose name was already used by an earlier item. */
function findDuplicateNames (section: string, names: readonly string[], field: string): DeploymentProblem[] {
  return names.flatMap((name, index) => names.indexOf(name) === index
    ? []
    : [{ path: [section, index, field], message: `duplicate "${name}"; each ${field} must be unique` }])
}

/**
 * Tells whether a text matches a pattern, in which a trailing `*` matches any suffix.
 *
 * @example
 * matchPattern('manual-*', 'manual-7') // true
 */
export function matchPattern (pattern: string, text: string): boolean {
  return pattern.endsWith('*') ? text.startsWith(pattern.slice(0, -1)) : text === pattern
}

function checkModel (deployment: Deployment, model: Model, index: number): DeploymentProblem[] {
  const pool = deployment.pools.find((candidate) => candidate.name === model.pool)
  if (pool === undefined) return [{ path: ['models', index, 'pool'], message: `no runner can serve the model: there is no pool "${model.pool}"` }]
  if (model.size > pool.memory - pool.adapterMemory) return [{ path: ['models', index, 'size'], message: `the model fits no runner: pool "${pool.name}" has less memory for models` }]
  const oversizedIndex = model.adapters.findIndex((adapter) => adapter.size > pool.adapterMemory)
  if (oversizedIndex >= 0) return [{ path: ['models', index, 'adapters', oversizedIndex, 'size'], message: `the adapter fits no runner: pool "${pool.name}" has less memory for adapters` }]
  return []
}

function checkModelPatterns (deployment: Deployment, kind: ModelRequestKind, path: ReadonlyArray<string | number>): DeploymentProblem[] {
  return kind.models.flatMap((pattern, index) => deployment.models.some((model) => matchPattern(pattern, model.name))
    ? []
    : [{ path: [...path, 'models', index], message: `no model matches "${pattern}"` }])
}

function checkContracts (deployment: Deployment): DeploymentProblem[] {
  const keyOwners = new Map<string, string>()
  return deployment.contracts.flatMap((contract, index) => {
    const path = ['contracts', index]
    const keyProblems = contract.keys.flatMap((key, keyIndex) => {
      const owner = keyOwners.get(key)
      keyOwners.set(key, contract.customer)
      return owner === undefined ? [] : [{ path: [...path, 'keys', keyIndex], message: `the key also belongs to "${owner}"` }]
    })
    const kindProblems = contract.kinds.flatMap((kind, kindIndex) => {
      const kindPath = [...path, 'kinds', kindIndex]
      if (kind.type === 'model') return checkModelPatterns(deployment, kind, kindPath)
      const isKnown = deployment.services.some((service) => service.name === kind.service)
      return isKnown ? [] : [{ path: [...kindPath, 'service'], message: `there is no service "${kind.service}"` }]
    })
    return [...keyProblems, ...kindProblems, ...findDuplicateNames('kinds', contract.kinds.map((kind) => kind.name), 'name').map((problem) => ({ ...problem, path: [...path, ...problem.path] }))]
  })
}

/**
 * Lists every inconsistency between the documents of a deployment.
 *
 * @example
 * const problems = checkDeployment(deployment) // [] when the deployment is valid
 */
export function checkDeployment (deployment: Deployment): DeploymentProblem[] {
  return [
    ...findDuplicateNames('pools', deployment.pools.map((pool) => pool.name), 'name'),
    ...findDuplicateNames('models', deployment.models.map((model) => model.name), 'name'),
    ...findDuplicateNames('services', deployment.services.map((service) => service.name), 'name'),
    ...findDuplicateNames('contracts', deployment.contracts.map((contract) => contract.customer), 'customer'),
    ...deployment.models.flatMap((model, index) => checkModel(deployment, model, index)),
    ...checkContracts(deployment)
  ]
}
