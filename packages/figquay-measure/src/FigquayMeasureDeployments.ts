/** Sizes of the example deployments. */
import type { BatchingOptions, StandinStoreOptions } from 'figquay-standins'

/** Upstreams, zones and weight store of a deployment. */
export interface DeploymentSize {
  /** Name of the deployment file in `examples/`. */
  readonly contracts: string
  readonly zones: readonly string[]
  /** Runner pool of the engines. */
  readonly pool: string
  readonly runners: number
  readonly service: string
  readonly serviceUpstreams: number
  /** Accelerator memory of one engine. */
  readonly capacityGib: number
  readonly store: StandinStoreOptions
  readonly batching: BatchingOptions
}

/** Names of the example deployments. */
export type DeploymentName = 'guild' | 'fundacion'

const BATCHING: BatchingOptions = {
  maxBatch: 16,
  baseStepMs: 12,
  sequenceStepMs: 0.6,
  prefillTokensPerSecond: 8_000,
  cacheTokens: 60_000
}

/** The deployments in `examples/`. */
export const DEPLOYMENTS: Readonly<Record<DeploymentName, DeploymentSize>> = {
  guild: {
    contracts: 'guild.jsonc',
    zones: ['cairo-1', 'cairo-2', 'alexandria-1'],
    pool: 'manual-assistant',
    runners: 6,
    service: 'ledger',
    serviceUpstreams: 3,
    capacityGib: 96,
    store: { models: { transferMs: 8_000, knee: 8 }, adapters: { transferMs: 8, knee: 60 } },
    batching: BATCHING
  },
  fundacion: {
    contracts: 'fundacion.jsonc',
    zones: ['valley-1', 'valley-2', 'valley-3'],
    pool: 'planning-assistant',
    runners: 13,
    service: 'refill-desk',
    serviceUpstreams: 3,
    capacityGib: 96,
    store: { models: { transferMs: 1_500, knee: 3 }, adapters: { transferMs: 8, knee: 25 } },
    batching: BATCHING
  }
}
