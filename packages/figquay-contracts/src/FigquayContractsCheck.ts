/** Checks that go across documents: what each names must exist, once. */
import type { Deployment, Model, ModelKind } from './FigquayContractsSchema.js'

/** One contradiction between documents. */
export interface DeploymentProblem {
  readonly path: ReadonlyArray<string | number>
  readonly message: string
}

/** Lists items whose name stands for a second time. */
function findDoubledNames (section: string, names: readonly string[], field: string): DeploymentProblem[] {
  return names.flatMap((name, index) => names.indexOf(name) === index
    ? []
    : [{ path: [section, index, field], message: `"${name}" stands twice; expected one for each ${field}` }])
}

/**
 * Tells whether a name matches a pattern with an optional trailing `*`.
 *
 * @example
 * matchPattern('manual-*', 'manual-7') // true
 */
export function matchPattern (pattern: string, text: string): boolean {
  return pattern.endsWith('*') ? text.startsWith(pattern.slice(0, -1)) : text === pattern
}

function checkModel (deployment: Deployment, model: Model, index: number): DeploymentProblem[] {
  const pool = deployment.pools.find((candidate) => candidate.name === model.pool)
  if (pool === undefined) return [{ path: ['models', index, 'pool'], message: `no runner can reach the model: there is no pool "${model.pool}"` }]
  if (model.size > pool.memory - pool.adapterMemory) return [{ path: ['models', index, 'size'], message: `no runner can reach the model: pool "${pool.name}" has less memory for models` }]
  const tooLarge = model.adapters.findIndex((adapter) => adapter.size > pool.adapterMemory)
  if (tooLarge >= 0) return [{ path: ['models', index, 'adapters', tooLarge, 'size'], message: `pool "${pool.name}" has less memory for adapters` }]
  return []
}

function checkModelPatterns (deployment: Deployment, kind: ModelKind, path: ReadonlyArray<string | number>): DeploymentProblem[] {
  return kind.models.flatMap((pattern, index) => deployment.models.some((model) => matchPattern(pattern, model.name))
    ? []
    : [{ path: [...path, 'models', index], message: `no model matches "${pattern}"` }])
}

function checkContracts (deployment: Deployment): DeploymentProblem[] {
  const keyOwners = new Map<string, string>()
  return deployment.contracts.flatMap((contract, index) => {
    const path = ['contracts', index]
    const keys = contract.keys.flatMap((key, position) => {
      const owner = keyOwners.get(key)
      keyOwners.set(key, contract.customer)
      return owner === undefined ? [] : [{ path: [...path, 'keys', position], message: `the key also belongs to "${owner}"` }]
    })
    const kinds = contract.kinds.flatMap((kind, position) => {
      const kindPath = [...path, 'kinds', position]
      if (kind.type === 'model') return checkModelPatterns(deployment, kind, kindPath)
      const known = deployment.services.some((service) => service.name === kind.service)
      return known ? [] : [{ path: [...kindPath, 'service'], message: `there is no service "${kind.service}"` }]
    })
    return [...keys, ...kinds, ...findDoubledNames('kinds', contract.kinds.map((kind) => kind.name), 'name').map((problem) => ({ ...problem, path: [...path, ...problem.path] }))]
  })
}

/**
 * Lists every contradiction between the documents of a deployment.
 *
 * @example
 * const problems = checkDeployment(deployment) // [] when it may go into force
 */
export function checkDeployment (deployment: Deployment): DeploymentProblem[] {
  return [
    ...findDoubledNames('pools', deployment.pools.map((pool) => pool.name), 'name'),
    ...findDoubledNames('models', deployment.models.map((model) => model.name), 'name'),
    ...findDoubledNames('services', deployment.services.map((service) => service.name), 'name'),
    ...findDoubledNames('contracts', deployment.contracts.map((contract) => contract.customer), 'customer'),
    ...deployment.models.flatMap((model, index) => checkModel(deployment, model, index)),
    ...checkContracts(deployment)
  ]
}
