/** Input and output of the model planner. */
import type { ModelSpec } from './FigquayFleetTypes.js'

/** A model that is loaded on a runner, as planner input. */
export interface PlannerReplica {
  readonly model: string
  /** Requests in progress on this replica. */
  readonly openRequests: number
  /** Time since the replica was loaded, in milliseconds. */
  readonly ageMs: number
}

/** A runner, as planner input. */
export interface PlannerRunner {
  readonly id: string
  /** Time until the runner can take an order, in milliseconds; infinite if unknown. */
  readonly freeInMs: number
  /** Whether the runner accepts requests; only replicas on such runners are counted. */
  readonly isServing: boolean
  readonly freeMb: number
  /** How long work usually takes on it, relative to normal: 1 if nothing is known. */
  readonly slowdown: number
  readonly replicas: readonly PlannerReplica[]
  /** Model that it is loading, or that an eviction under way makes room for. */
  readonly loading: string | undefined
  /** Models with their weights in the runner's main memory. */
  readonly inMemory: readonly string[]
  /** Models with their weights on the runner's disk. */
  readonly onDisk: readonly string[]
  readonly openRequests: number
  /** Prompt tokens of requests that have had no output yet. */
  readonly pendingTokens: number
}

/** A model, as planner input. */
export interface PlannerModel {
  readonly spec: ModelSpec
  readonly requestsPerSecond: number
  /** Prompt tokens that its replicas process, as they haven't cached them. */
  readonly uncachedTokensPerSecond: number
  /** Requests per second over the last minute. */
  readonly longTermRequestsPerSecond: number
  /** Requests that wait for a replica. */
  readonly waitingRequests: number
  /** Time for which requests have found no replica, in milliseconds; 0 while there is one. */
  readonly unavailableMs: number
  /** Time until the first loading replica is ready, in milliseconds; undefined if none is loading. */
  readonly readyInMs: number | undefined
  readonly loadingReplicas: number
}

/** State of the fleet that a plan is based on. */
export interface ModelPlanInput {
  /** Requests that one runner processes concurrently. */
  readonly slotsPerRunner: number
  /** Shortest objective of the routes for the first output, in milliseconds; 0 if none declares one. */
  readonly objectiveMs: number
  /** Shortest allowed pause of a stream, in milliseconds; 0 if no route declares one. */
  readonly maxPauseMs: number
  readonly runners: readonly PlannerRunner[]
  readonly models: readonly PlannerModel[]
  /** Loads that the rate limit of the weight store allows now. */
  readonly storeLoadsAllowed: number
  /** Those of them that no request needs to wait for; the others are left for models that requests wait for. */
  readonly storeLoadsAheadAllowed: number
  /** Time until the weight store allows another load, in milliseconds. */
  readonly storeWaitMs: number
  /** Loads from the weight store in progress. */
  readonly activeStoreLoads: number
}

/** One step of a plan: a load, or an unload that frees memory for a load. */
export interface ModelPlanStep {
  readonly action: 'load' | 'unload'
  readonly runner: string
  /** Model to load or unload. */
  readonly model: string
  /** Models to unload after it, if it doesn't leave enough memory. */
  readonly furtherVictims: readonly string[]
  /** Model that is loaded in the end; the same as `model` unless the step is an unload. */
  readonly beneficiary: string
  /** Whether the beneficiary is loaded from the weight store. */
  readonly fromStore: boolean
  /** Expected time until the beneficiary is loaded, in milliseconds. */
  readonly readyInMs: number
  readonly reason: LoadReason
  /** Requests that it is expected to save from coming late; 0 if that was not estimated. */
  readonly savedRequests: number
  /** Requests that the eviction is expected to cost. */
  readonly evictionCost: number
}

/** Why a model is loaded. */
export type LoadReason = 'requests are waiting and no runner has it loaded' | 'requests would come late on its replicas' | 'its replicas are overloaded' | 'no runner has it loaded'

/** Why a model that requests wait for is not loaded now. */
export type UnplacedReason =
  /** The runner with the lowest cost has to finish another order first. */
  | 'the best runner is busy'
  /** Each replica that could be evicted was loaded too recently, has requests waiting or costs too much. */
  | 'no replica can be evicted'
  /** A load in progress will be ready nearly as soon. */
  | 'a replica is already loading'
  /** Only the weight store has the model, and it allows no more loads now. */
  | 'the weight store is at its limit'

/** A model that requests wait for and that a plan does not load. */
export interface UnplacedModel {
  readonly model: string
  readonly reason: UnplacedReason
  /** Runner that would have been best; undefined if there is none. */
  readonly runner: string | undefined
  /** Estimated time until it is loaded, in milliseconds; infinite if it can't be told. */
  readonly readyInMs: number
}
