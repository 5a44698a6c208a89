/** Chooses the runner of a request. */
import { hashText, type PluginRegistry } from 'figquay'
import type { RoutedRequest } from './FigquayRoutingTypes.js'
import type { RunnerReport, RunnerTable } from './FigquayRoutingRunnerTable.js'
import type { FirstTokenPredictor } from './FigquayRoutingPredictor.js'

/** What a choice may look at. */
export interface SelectionContext {
  readonly table: RunnerTable
  readonly predictor: FirstTokenPredictor
}

/** A request with what routing has learnt about it. */
export interface SelectionRequest {
  readonly request: RoutedRequest
  /** The request was in flight at a crash. */
  readonly isCharged: boolean
  /** Whether a runner may take the request now. */
  readonly canTake: (report: RunnerReport) => boolean
}

/** Way of choosing a runner among those that hold the model. */
export abstract class RunnerSelector {
  /** Whether a choice rests on the loads that runners report: then every daemon asks them itself. */
  readonly usesReportedLoad: boolean = false

  /** The runner to use, or undefined when none may take the request now. */
  abstract selectRunner (selection: SelectionRequest, holders: readonly RunnerReport[], context: SelectionContext): RunnerReport | undefined

  /** Holders that are preferred when room is asked for; undefined when this way of choosing reserves none. */
  listPreferred (_request: RoutedRequest, _holders: readonly RunnerReport[]): RunnerReport[] | undefined {
    return undefined
  }
}

/** Candidates of one prefix; also the most upstreams that one crashing request reaches. */
const CANDIDATES = 2

/** Ranks runners by a hash of prefix and runner: the same everywhere, without any message. */
function rankByHash (prefixKey: string, holders: readonly RunnerReport[]): RunnerReport[] {
  return holders.map((report) => ({ report, place: hashText(`${prefixKey}/${report.runner}`) }))
    .sort((a, b) => a.place < b.place ? -1 : 1)
    .map((entry) => entry.report)
}

/** The better of two runners that the prefix determines; others only when both are overloaded. */
export class AffinitySelector extends RunnerSelector {
  /**
   * @example
   * const selector = AffinitySelector.create()
   */
  static create (): AffinitySelector {
    return new AffinitySelector()
  }

  override selectRunner (selection: SelectionRequest, holders: readonly RunnerReport[], context: SelectionContext): RunnerReport | undefined {
    const ranked = rankByHash(selection.request.prefixKey, holders)
    const near = this.selectBest(selection, ranked.slice(0, CANDIDATES), context)
    if (near !== undefined) return near
    const isCandidateDown = ranked.slice(0, CANDIDATES).some((report) => report.downSinceMs !== undefined)
    // A request that may have crashed its candidates does not get a third.
    if (selection.isCharged && isCandidateDown) return undefined
    return this.selectBest(selection, ranked.slice(CANDIDATES), context)
  }

  override listPreferred (request: RoutedRequest, holders: readonly RunnerReport[]): RunnerReport[] {
    return rankByHash(request.prefixKey, holders).slice(0, CANDIDATES)
  }

  private selectBest (selection: SelectionRequest, reports: readonly RunnerReport[], { table, predictor }: SelectionContext): RunnerReport | undefined {
    let best: { report: RunnerReport, cost: number } | undefined
    for (const report of reports) {
      if (!table.isUsable(report) || !selection.canTake(report)) continue
      const cost = predictor.predictFirstTokenMs(report, selection.request, 0)
      if (best === undefined || cost < best.cost) best = { report, cost }
    }
    return best?.report
  }
}

/** Naive baseline: one runner after the other. */
export class RoundRobinSelector extends RunnerSelector {
  private next = 0

  /**
   * @example
   * const selector = RoundRobinSelector.create()
   */
  static create (): RoundRobinSelector {
    return new RoundRobinSelector()
  }

  override selectRunner (selection: SelectionRequest, holders: readonly RunnerReport[], { table }: SelectionContext): RunnerReport | undefined {
    const usable = holders.filter((report) => table.isUsable(report))
    this.next += 1
    return usable[this.next % Math.max(1, usable.length)]
  }
}

/** Naive baseline: the runner whose last report shows the least load. */
export class LeastReportedSelector extends RunnerSelector {
  override readonly usesReportedLoad = true

  /**
   * @example
   * const selector = LeastReportedSelector.create()
   */
  static create (): LeastReportedSelector {
    return new LeastReportedSelector()
  }

  override selectRunner (selection: SelectionRequest, holders: readonly RunnerReport[], { table }: SelectionContext): RunnerReport | undefined {
    const usable = holders.filter((report) => table.isUsable(report))
    const readLoad = (report: RunnerReport): number => report.state.load.running + report.state.load.waiting
    return usable.reduce<RunnerReport | undefined>((best, report) => best === undefined || readLoad(report) < readLoad(best) ? report : best, undefined)
  }
}

/**
 * Makes the ways of choosing a runner available by name.
 *
 * @example
 * const undo = registerRunnerSelectors(registry)
 */
export function registerRunnerSelectors (registry: PluginRegistry): () => void {
  const undos = [
    registry.registerPlugin('runner-selector', 'affinity', AffinitySelector.create),
    registry.registerPlugin('runner-selector', 'round-robin', RoundRobinSelector.create),
    registry.registerPlugin('runner-selector', 'least-reported', LeastReportedSelector.create)
  ]
  return () => undos.forEach((undo) => undo())
}
