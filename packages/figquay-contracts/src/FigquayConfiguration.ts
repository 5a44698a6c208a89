/** The configuration in force, immutable between changes. */
import { makeFailure, makeSuccess, type Outcome } from 'figquay'
import { checkDeployment, matchPattern } from './FigquayContractsCheck.js'
import { deploymentSchema, type Contract, type Deployment, type DeploymentSource, type Kind, type Model, type ModelKind, type Pool, type ServiceKind } from './FigquayContractsSchema.js'

/** One document in force. */
export interface ConfigurationDocument {
  /** Offset of the record that put it into force. */
  readonly version: number
  readonly body: unknown
}

export type DocumentMap = ReadonlyMap<string, ConfigurationDocument>

const DEFAULT_POLICY = { movePrice: 1, loadsAtOnce: 4, loadsPerSecond: 1, adaptersAtOnce: 25, coolDown: '10s' }

/** Collects the bodies of one type. */
function collectBodies<T> (documents: DocumentMap, type: string): T[] {
  return [...documents].filter(([key]) => key.startsWith(`${type}/`)).map(([, document]) => document.body as T)
}

/** Puts documents together as one deployment in source form. */
function assembleSource (documents: DocumentMap): DeploymentSource {
  return {
    pools: collectBodies(documents, 'pool'),
    models: collectBodies(documents, 'model'),
    services: collectBodies(documents, 'service'),
    contracts: collectBodies(documents, 'contract'),
    policy: (documents.get('policy/placement')?.body ?? DEFAULT_POLICY) as DeploymentSource['policy']
  }
}

/** A checked configuration with the indexes that serving needs. */
export class Configuration {
  private readonly contractsByKey = new Map<string, Contract>()
  private readonly modelsByName: ReadonlyMap<string, Model>
  private readonly poolsByName: ReadonlyMap<string, Pool>

  private constructor (readonly documents: DocumentMap, readonly deployment: Deployment) {
    this.modelsByName = new Map(deployment.models.map((model) => [model.name, model]))
    this.poolsByName = new Map(deployment.pools.map((pool) => [pool.name, pool]))
    for (const contract of deployment.contracts) {
      for (const key of contract.keys) this.contractsByKey.set(key, contract)
    }
  }

  /**
   * Checks a set of documents; either the configuration or the first problem.
   *
   * @example
   * const outcome = Configuration.create(new Map())
   */
  static create (documents: DocumentMap): Outcome<Configuration, string> {
    const parsed = deploymentSchema.safeParse(assembleSource(documents))
    if (!parsed.success) {
      const issue = parsed.error.issues[0]!
      return makeFailure(`${issue.path.join('.')}: ${issue.message}`)
    }
    const problem = checkDeployment(parsed.data)[0]
    if (problem !== undefined) return makeFailure(`${problem.path.join('.')}: ${problem.message}`)
    return makeSuccess(new Configuration(documents, parsed.data))
  }

  /** Contract that a caller key belongs to, by the key's SHA-256. */
  findContract (keyHash: string): Contract | undefined {
    return this.contractsByKey.get(keyHash)
  }

  /** Model by name. */
  findModel (name: string): Model | undefined {
    return this.modelsByName.get(name)
  }

  /** Pool by name. */
  findPool (name: string): Pool | undefined {
    return this.poolsByName.get(name)
  }

  /** Models that a contract may use. */
  listModels (contract: Contract): Model[] {
    return this.deployment.models.filter((model) => contract.kinds.some((kind) => matchModel(kind, model.name)))
  }
}

function matchModel (kind: Kind, model: string): boolean {
  return kind.type === 'model' && kind.models.some((pattern) => matchPattern(pattern, model))
}

/**
 * Finds the kind of a model request: the one the caller names, else the first that fits.
 *
 * @example
 * findModelKind(contract, 'manual-3', 'overnight')
 */
export function findModelKind (contract: Contract, model: string, named?: string): ModelKind | undefined {
  return contract.kinds.find((kind): kind is ModelKind => matchModel(kind, model) && (named === undefined || kind.name === named))
}

/**
 * Finds the kind of a service call.
 *
 * @example
 * findServiceKind(contract, 'ledger', 'POST', '/orders')
 */
export function findServiceKind (contract: Contract, service: string, method: string, path: string): ServiceKind | undefined {
  return contract.kinds.find((kind): kind is ServiceKind => kind.type === 'service' && kind.service === service &&
    kind.calls.some((call) => matchPattern(call, `${method} ${path}`)))
}
