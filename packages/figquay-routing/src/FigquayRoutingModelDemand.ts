/** Estimates the offered load of each model: the mean number of runners that its requests would keep busy. */
import type { Clock } from 'figquay'
import type { HintTable } from 'figquay-peers'
import { RateTable } from './FigquayRoutingRateMeter.js'
import type { RunnerReport, RunnerTable } from './FigquayRoutingRunnerTable.js'
import type { RoutedRequest } from './FigquayRoutingTypes.js'

/** Dependencies of the demand estimate. */
export interface ModelDemandOptions {
  readonly clock: Clock
  readonly hints: HintTable
  readonly table: RunnerTable
}

/** Demand for one model, as used by placement. */
export interface DemandEstimate {
  /** Mean number of runners that the requests would keep busy. */
  readonly busyRunners: number
  /** Mean runner time of one request, in seconds. */
  readonly workPerRequest: number
}

/** Mean age of the latest hints of a peer. */
const MEAN_HINT_AGE_MS = 500
/** Runner time assumed for a request until there is a runner report or a request to estimate it from. */
const INITIAL_WORK_SECONDS = 0.2
const WORK_EWMA_WEIGHT = 0.05
const UNCACHED_FRACTION_EWMA_WEIGHT = 0.1
/** Weight of batch requests in the demand: they can wait, so they justify few additional copies. */
const BATCH_DEMAND_WEIGHT = 0.15

/** Demand measured by this daemon and reported by its peers. */
export class ModelDemand {
  private readonly workRates = RateTable.create()
  private readonly workPerRequest = new Map<string, number>()
  /** Mean fraction of a prompt that was not cached on its runner, by model. */
  private readonly uncachedFractions = new Map<string, number>()

  private constructor (private readonly options: ModelDemandOptions) {}

  /**
   * @example
   * const demand = ModelDemand.create({ clock, hints, table })
   */
  static create (options: ModelDemandOptions): ModelDemand {
    return new ModelDemand(options)
  }

  /**
   * Adds a request to the demand, whether it is admitted or not.
   *
   * @example
   * demand.countRequest(request)
   */
  countRequest (request: RoutedRequest): void {
    const seconds = this.estimateWork(request)
    const name = request.model.name
    const mean = this.workPerRequest.get(name) ?? seconds
    this.workPerRequest.set(name, mean + WORK_EWMA_WEIGHT * (seconds - mean))
    const weight = request.kind.priority === 'batch' ? BATCH_DEMAND_WEIGHT : 1
    this.workRates.countEvents(name, seconds * weight, this.options.clock.readMonotonicMs())
  }

  /**
   * Records the fraction of a prompt that its runner has to process because it is not cached there.
   *
   * @example
   * demand.recordUncachedFraction('manual-3', 0.3)
   */
  recordUncachedFraction (model: string, fraction: number): void {
    const mean = this.uncachedFractions.get(model) ?? fraction
    this.uncachedFractions.set(model, mean + UNCACHED_FRACTION_EWMA_WEIGHT * (fraction - mean))
  }

  /** Busy runners by model for the requests of this daemon alone, sent to peers as a hint. */
  listLocalDemand (): Record<string, number> {
    return this.workRates.listRates(this.options.clock.readMonotonicMs())
  }

  /** Demand for a model across all daemons. */
  readDemand (model: string): DemandEstimate {
    const nowMs = this.options.clock.readMonotonicMs()
    const peerBusyRunners = this.options.hints.listFresh(nowMs).reduce((sum, hints) => sum + (hints.modelDemand[model] ?? 0), 0)
    return { busyRunners: this.workRates.readRate(model, nowMs) + peerBusyRunners, workPerRequest: this.workPerRequest.get(model) ?? INITIAL_WORK_SECONDS }
  }

  /** Estimates the work that peers have sent to a runner since their latest hints, in milliseconds. */
  estimatePeerWorkMs (report: RunnerReport): number {
    const peers = this.options.hints.listFresh(this.options.clock.readMonotonicMs())
    const models = report.state.models.filter((model) => model.phase === 'ready')
    const busyFraction = models.reduce((sum, model) => {
      const copies = Math.max(1, this.options.table.listHolders(model.id).length)
      const name = model.id.split('@')[0]!
      return sum + peers.reduce((modelSum, hints) => modelSum + (hints.modelDemand[name] ?? 0), 0) / copies
    }, 0)
    return busyFraction * MEAN_HINT_AGE_MS
  }

  /** Runner time in seconds: prompt processing occupies the whole runner, decoding shares it among a full batch. */
  private estimateWork (request: RoutedRequest): number {
    const load = this.options.table.listReports()[0]?.state.load
    if (load === undefined) return INITIAL_WORK_SECONDS
    const decodeSeconds = request.maxOutputTokens * load.stepMs / 1_000 / load.maxBatch
    const promptTokens = request.promptTokens * (this.uncachedFractions.get(request.model.name) ?? 1)
    return promptTokens / load.prefillTokensPerSecond + decodeSeconds
  }
}
