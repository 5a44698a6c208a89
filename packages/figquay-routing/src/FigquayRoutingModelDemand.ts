/** Demand for each model, in runners that its requests would keep busy. */
import type { Clock } from 'figquay'
import type { HintTable } from 'figquay-peers'
import { RateTable } from './FigquayRoutingRateMeter.js'
import type { RunnerReport, RunnerTable } from './FigquayRoutingRunnerTable.js'
import type { RoutedRequest } from './FigquayRoutingTypes.js'

/** What the demand needs. */
export interface ModelDemandOptions {
  readonly clock: Clock
  readonly hints: HintTable
  readonly table: RunnerTable
}

/** Demand as placement weighs it. */
export interface DemandReading {
  readonly busyRunners: number
  /** Runner seconds of one request. */
  readonly workPerRequest: number
}

/** Mean age of the latest hints, in milliseconds. */
const HINT_AGE_MS = 500
const FIRST_WORK_SECONDS = 0.2
const WORK_WEIGHT = 0.05
const PROMPT_WEIGHT = 0.1
/** Batch work can wait, so it hardly calls for more copies. */
const BATCH_WEIGHT = 0.15

/** Demand seen by this daemon and its peers. */
export class ModelDemand {
  private readonly work = RateTable.create()
  private readonly workPerRequest = new Map<string, number>()
  /** Part of the prompts that runners had to process, by model. */
  private readonly processedPart = new Map<string, number>()

  private constructor (private readonly options: ModelDemandOptions) {}

  /**
   * @example
   * const demand = ModelDemand.create({ clock, hints, table })
   */
  static create (options: ModelDemandOptions): ModelDemand {
    return new ModelDemand(options)
  }

  /**
   * Counts a request, served or not.
   *
   * @example
   * demand.countRequest(request)
   */
  countRequest (request: RoutedRequest): void {
    const seconds = this.estimateWork(request)
    const name = request.model.name
    const mean = this.workPerRequest.get(name) ?? seconds
    this.workPerRequest.set(name, mean + WORK_WEIGHT * (seconds - mean))
    const weight = request.kind.priority === 'batch' ? BATCH_WEIGHT : 1
    this.work.countEvents(name, seconds * weight, this.options.clock.readMonotonicMs())
  }

  /**
   * Learns how much of a prompt its runner has to process: the rest is cached there.
   *
   * @example
   * demand.notePrompt('manual-3', 0.3)
   */
  notePrompt (model: string, part: number): void {
    const mean = this.processedPart.get(model) ?? part
    this.processedPart.set(model, mean + PROMPT_WEIGHT * (part - mean))
  }

  /** Own demand by model, for the hints to peers. */
  listOwn (): Record<string, number> {
    return this.work.listRates(this.options.clock.readMonotonicMs())
  }

  /** Demand for a model over all daemons. */
  readDemand (model: string): DemandReading {
    const now = this.options.clock.readMonotonicMs()
    const peers = this.options.hints.listFresh(now).reduce((sum, hints) => sum + (hints.modelDemand[model] ?? 0), 0)
    return { busyRunners: this.work.readRate(model, now) + peers, workPerRequest: this.workPerRequest.get(model) ?? FIRST_WORK_SECONDS }
  }

  /** Work that peers send to a runner before their next hints tell of it, in milliseconds. */
  estimatePeerWorkMs (report: RunnerReport): number {
    const peers = this.options.hints.listFresh(this.options.clock.readMonotonicMs())
    const models = report.state.models.filter((model) => model.phase === 'ready')
    const busy = models.reduce((sum, model) => {
      const copies = Math.max(1, this.options.table.listHolders(model.id).length)
      const name = model.id.split('@')[0]!
      return sum + peers.reduce((part, hints) => part + (hints.modelDemand[name] ?? 0), 0) / copies
    }, 0)
    return busy * HINT_AGE_MS
  }

  /** Runner seconds: the prompt takes a runner alone, decoding shares it with a whole batch. */
  private estimateWork (request: RoutedRequest): number {
    const load = this.options.table.listReports()[0]?.state.load
    if (load === undefined) return FIRST_WORK_SECONDS
    const decodeSeconds = request.maxOutputTokens * load.stepMs / 1_000 / load.maxBatch
    const promptTokens = request.promptTokens * (this.processedPart.get(request.model.name) ?? 1)
    return promptTokens / load.prefillTokensPerSecond + decodeSeconds
  }
}
