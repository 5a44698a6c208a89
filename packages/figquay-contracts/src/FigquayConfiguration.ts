/** Validated, immutable configuration with lookup indexes. */
import { makeFailure, makeSuccess, type Outcome } from 'figquay'
import { checkDeployment, matchPattern } from './FigquayContractsCheck.js'
import { deploymentSchema, type Contract, type Deployment, type DeploymentSource, type RequestKind, type Model, type ModelRequestKind, type Pool, type ServiceCallKind } from './FigquayContractsSchema.js'

/** One document of a configuration. */
export interface ConfigurationDocument {
  /** Offset, plus 1, of the log record that last changed the document. */
  readonly version: number
  readonly body: unknown
}

/** Documents by key, such as `pool/chat`. */
export type DocumentMap = ReadonlyMap<string, ConfigurationDocument>

const DEFAULT_PLACEMENT_POLICY = { movePrice: 1, loadsAtOnce: 4, loadsPerSecond: 1, adaptersAtOnce: 25, coolDown: '10s' }

/** Collects the bodies of the documents of one type. */
function collectBodies<T> (documents: DocumentMap, type: string): T[] {
  return [...documents].filter(([key]) => key.startsWith(`${type}/`)).map(([, document]) => document.body as T)
}

/** Combines documents into one deployment in source form, as in a deployment file. */
function assembleSource (documents: DocumentMap): DeploymentSource {
  return {
    pools: collectBodies(documents, 'pool'),
    models: collectBodies(documents, 'model'),
    services: collectBodies(documents, 'service'),
    contracts: collectBodies(documents, 'contract'),
    policy: (documents.get('policy/placement')?.body ?? DEFAULT_PLACEMENT_POLICY) as DeploymentSource['policy']
  }
}

/** A validated configuration, indexed by caller key, model name and pool name. */
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
   * Validates a set of documents and returns the configuration, or the first problem found.
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

  /** Finds the contract of a caller by the SHA-256 of its key. */
  findContract (keyHash: string): Contract | undefined {
    return this.contractsByKey.get(keyHash)
  }

  findModel (name: string): Model | undefined {
    return this.modelsByName.get(name)
  }

  findPool (name: string): Pool | undefined {
    return this.poolsByName.get(name)
  }

  /** Lists the models that a contract grants access to. */
  listModels (contract: Contract): Model[] {
    return this.deployment.models.filter((model) => contract.kinds.some((kind) => matchModel(kind, model.name)))
  }
}

function matchModel (kind: RequestKind, model: string): boolean {
  return kind.type === 'model' && kind.models.some((pattern) => matchPattern(pattern, model))
}

/**
 * Finds the request kind of a model request. Without `kindName`, the first kind that includes the model is used.
 *
 * @example
 * findModelRequestKind(contract, 'manual-3', 'overnight')
 */
export function findModelRequestKind (contract: Contract, model: string, kindName?: string): ModelRequestKind | undefined {
  return contract.kinds.find((kind): kind is ModelRequestKind => matchModel(kind, model) && (kindName === undefined || kind.name === kindName))
}

/**
 * Finds the request kind of a service call by service, method and path.
 *
 * @example
 * findServiceCallKind(contract, 'ledger', 'POST', '/orders')
 */
export function findServiceCallKind (contract: Contract, service: string, method: string, path: string): ServiceCallKind | undefined {
  return contract.kinds.find((kind): kind is ServiceCallKind => kind.type === 'service' && kind.service === service &&
    kind.calls.some((call) => matchPattern(call, `${method} ${path}`)))
}
