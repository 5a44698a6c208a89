/** Platform-independent types of runners, services, routes and their configuration. */

/** Whether a request may be sent again after it was sent once and got no complete response. */
export type RetrySafety = 'idempotent' | 'at-most-once'

/** A service that receives traffic of a route, with its relative weight. */
export interface RouteTarget {
  readonly service: string
  readonly weight: number
}

/** A route: the requests for a host and path prefix, and how they are served. */
export interface Route {
  readonly name: string
  readonly host: string
  /** Begins and ends with a slash. */
  readonly pathPrefix: string
  readonly repeat: RetrySafety
  /** The response is a stream of events. */
  readonly isStream: boolean
  /** Another runner may resume a broken stream after the last delivered event. */
  readonly isResumable: boolean
  /** Longest time that a caller is kept waiting for the response, in milliseconds. */
  readonly timeoutMs: number
  /** Service-level objective for the time to the first byte, in milliseconds. */
  readonly objectiveMs: number
  /** Longest silence, before the first byte or between two, after which callers give up, in milliseconds. */
  readonly patienceMs: number
  /** Longest pause between two events of a stream for which the response is still on time, in milliseconds; 0 if the route declares none. */
  readonly maxPauseMs: number
  /** Callers need no key, also where others do. */
  readonly isPublic: boolean
  /** 0 is the highest priority. */
  readonly priority: number
  readonly targets: readonly RouteTarget[]
  /** Maximum number of attempts for one request. */
  readonly maxAttempts: number
}

/** A model that a pool of runners can load. */
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

/** Capacity and models that all runners of a model-serving service share. */
export interface EnginePool {
  /** Requests that one runner processes concurrently. */
  readonly slots: number
  /** KV cache capacity of one runner, in tokens. */
  readonly kvTokens: number
  /** Memory of one runner for models and adapters together. */
  readonly weightsMb: number
  /** Adapters that one runner can hold at once, over all its models. */
  readonly adapterSlots: number
  /** Loads from the weight store that may start per second, over all runners. */
  readonly loadsPerSecond: number
  readonly models: ReadonlyMap<string, ModelSpec>
}

/** A service and the settings that its runners share. */
export interface Service {
  readonly name: string
  readonly healthPath: string
  readonly maxConnections: number
  /** Undefined for a plain service, which serves no models. */
  readonly engine: EnginePool | undefined
}

/** Rate at which the requests of one customer may run, over all daemons together. */
export interface CustomerQuota {
  /** What `ratePerSecond` and `burst` count. A request counts its prompt tokens and its most output tokens. */
  readonly unit: 'tokens' | 'requests'
  readonly ratePerSecond: number
  readonly burst: number
  /** Tokens that a request counts which names none. */
  readonly defaultTokens: number
}

/** A customer whose callers authenticate with keys. */
export interface Customer {
  readonly name: string
  /** SHA-256 digests of its keys, in hexadecimal: the keys themselves are known to their callers only. */
  readonly keyDigests: readonly string[]
  /** Goes before the priority of the route; undefined if the route's applies. */
  readonly priority: number | undefined
  /** Undefined if there is no limit. */
  readonly quota: CustomerQuota | undefined
}

/** Limits on what callers may send. */
export interface CallerLimits {
  readonly maxHeaderBytes: number
  readonly maxBodyBytes: number
  readonly headerTimeoutMs: number
  readonly idleTimeoutMs: number
}

/** A complete configuration; one with a higher version replaces it. */
export interface FleetConfiguration {
  readonly version: number
  readonly routes: readonly Route[]
  readonly services: ReadonlyMap<string, Service>
  /** By name; undefined where callers need no keys. */
  readonly customers: ReadonlyMap<string, Customer> | undefined
  readonly limits: CallerLimits
}

/** A model in a runner's accelerator memory, with its loaded adapters. */
export interface LoadedModel {
  readonly name: string
  readonly adapters: readonly string[]
}

/** Models and adapters that a runner has loaded, is loading or keeps a copy of. */
export interface Holdings {
  readonly models: readonly LoadedModel[]
  /** Adapters being loaded, as `model/adapter`. */
  readonly coming: readonly string[]
  /** The runner is executing an order. */
  readonly isBusy: boolean
  /** Models with a copy in the runner's main memory. */
  readonly inMemory: readonly string[]
  /** Models with a copy on the runner's disk. */
  readonly onDisk: readonly string[]
}

/** A runner as announced in the platform's registry. */
export interface Runner {
  /** Most platforms assign a new one at each start. */
  readonly id: string
  readonly service: string
  /** `ip:port`. */
  readonly address: string
  readonly zone: string
  /** Version of its software, not of its weights: a stream goes on only at the version that began it. Undefined if the platform has none. */
  readonly softwareVersion?: string
  readonly slots: number
  /** Draining: takes no new requests and shuts down soon. */
  readonly isLeaving: boolean
  /** Wall-clock start time, in milliseconds; distinguishes restarts under one id. */
  readonly bornMs: number
  /** Counts this process's announcements: unlike their positions, it tells a restored announcement from a newer one. Undefined if the announcement names none. */
  readonly announcementCount?: number
  /** Undefined for a runner of a plain service. */
  readonly holdings: Holdings | undefined
}

/** Load that a runner reports with its responses. */
export interface ReportedLoad {
  readonly running: number
  readonly waiting: number
  readonly slots: number
  /** How long work takes at the moment, relative to the usual: 2 if it takes twice as long. Undefined if the runner doesn't say. */
  readonly slowdown: number | undefined
}

/** A part of a prompt; requests that share it and all parts before it can reuse the same cached prefix. */
export interface PromptPart {
  readonly id: string
  readonly tokens: number
}

/** Key of an adapter: `model/adapter`. */
export type AdapterKey = `${string}/${string}`

/**
 * Joins a model and an adapter name into a key.
 *
 * @example
 * makeAdapterKey('manual', 'a3') // 'manual/a3'
 */
export function makeAdapterKey (model: string, adapter: string): AdapterKey {
  return `${model}/${adapter}`
}
