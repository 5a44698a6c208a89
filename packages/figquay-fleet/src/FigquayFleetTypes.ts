/** Runners, services and routes in the product's own terms, whatever platform they come from. */

/** What may happen to a request that was sent and not answered. */
export type RepeatClass = 'idempotent' | 'at-most-once'

/** A service that a route sends to, with its part of the traffic. */
export interface RouteTarget {
  readonly service: string
  readonly weight: number
}

/** One route of the configuration. */
export interface Route {
  readonly name: string
  readonly host: string
  /** Begins and ends with a slash. */
  readonly pathPrefix: string
  readonly repeat: RepeatClass
  /** The answer is a series of events. */
  readonly isStream: boolean
  /** A broken stream may be continued by another runner after the last event that was delivered. */
  readonly isResumable: boolean
  /** Longest time that a caller is kept waiting, in milliseconds. */
  readonly timeoutMs: number
  /** Time to the first byte that the contract promises, in milliseconds. */
  readonly objectiveMs: number
  /** Longest silence that callers bear, before the first byte or between two, in milliseconds. */
  readonly patienceMs: number
  /** 0 is the most urgent. */
  readonly priority: number
  readonly targets: readonly RouteTarget[]
  /** Runners that one request may be sent to. */
  readonly maxAttempts: number
}

/** A model that a pool of runners serves. */
export interface ModelSpec {
  readonly name: string
  readonly weightsMb: number
  /** Time to load it from the weight store, in milliseconds. */
  readonly storeLoadMs: number
  /** Time to load it from the runner's disk, in milliseconds. */
  readonly diskLoadMs: number
  /** Time to load it from the runner's memory, in milliseconds. */
  readonly memoryLoadMs: number
  readonly adapterCount: number
  readonly adapterMb: number
}

/** What the runners of a service have in common when they serve models. */
export interface EnginePool {
  /** Requests that one runner works on at once. */
  readonly slots: number
  /** Tokens that the memory of one runner holds. */
  readonly kvTokens: number
  readonly weightsMb: number
  readonly adapterSlots: number
  /** Loads from the weight store that may begin in a second, over all runners. */
  readonly loadsPerSecond: number
  readonly models: ReadonlyMap<string, ModelSpec>
}

/** A service with its runners. */
export interface Service {
  readonly name: string
  readonly healthPath: string
  readonly maxConnections: number
  /** Undefined for a plain service. */
  readonly engine: EnginePool | undefined
}

/** Bounds on what a caller may send. */
export interface CallerLimits {
  readonly maxHeaderBytes: number
  readonly maxBodyBytes: number
  readonly headerTimeoutMs: number
  readonly idleTimeoutMs: number
}

/** A whole configuration; a higher version replaces it. */
export interface FleetConfiguration {
  readonly version: number
  readonly routes: readonly Route[]
  readonly services: ReadonlyMap<string, Service>
  readonly limits: CallerLimits
}

/** A model in a runner's accelerator memory. */
export interface HeldModel {
  readonly name: string
  readonly adapters: readonly string[]
}

/** What a runner holds. */
export interface Holdings {
  readonly models: readonly HeldModel[]
  /** Adapters on their way to the runner, as `model/adapter`. */
  readonly coming: readonly string[]
  /** An order is being carried out. */
  readonly isBusy: boolean
  /** Models with a copy in the runner's main memory. */
  readonly inMemory: readonly string[]
  /** Models with a copy on the runner's disk. */
  readonly onDisk: readonly string[]
}

/** A runner as it has announced itself. */
export interface Runner {
  /** Changes with each start on most platforms. */
  readonly id: string
  readonly service: string
  /** `ip:port`. */
  readonly address: string
  readonly zone: string
  readonly slots: number
  readonly isLeaving: boolean
  /** Wall-clock time of its start, in milliseconds; tells two starts under one id apart. */
  readonly bornMs: number
  /** Undefined for a runner of a plain service. */
  readonly holdings: Holdings | undefined
}

/** Load that a runner reports on its answers. */
export interface ReportedLoad {
  readonly running: number
  readonly waiting: number
  readonly slots: number
}

/** One part of a prompt; requests that share it and all parts before it share cached work. */
export interface PromptPart {
  readonly id: string
  readonly tokens: number
}

/** Name of an adapter of a model in one word. */
export type AdapterKey = `${string}/${string}`

/**
 * Joins a model and its adapter.
 *
 * @example
 * makeAdapterKey('manual', 'a3') // 'manual/a3'
 */
export function makeAdapterKey (model: string, adapter: string): AdapterKey {
  return `${model}/${adapter}`
}
