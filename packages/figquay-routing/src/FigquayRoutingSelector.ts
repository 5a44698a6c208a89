/** Strategies for choosing the runner of a request. */
import { hashText, type PluginRegistry } from 'figquay'
import type { RoutedRequest } from './FigquayRoutingTypes.js'
import type { RunnerReport, RunnerTable } from './FigquayRoutingRunnerTable.js'
import type { FirstTokenPredictor } from './FigquayRoutingPredictor.js'

/** State that a strategy may use. */
export interface SelectionContext {
  readonly table: RunnerTable
  readonly predictor: FirstTokenPredictor
}

/** A request to select a runner for. */
export interface SelectionRequest {
  readonly request: RoutedRequest
  /** Whether the request was in flight at a crash. */
  readonly isSuspect: boolean
  /** Whether a runner may take the request now. */
  readonly canTake: (report: RunnerReport) => boolean
}

/** Strategy for choosing among the runners that hold the model of a request. */
export abstract class RunnerSelector {
  /** Whether the strategy uses the loads in the runner reports; if so, every daemon polls all runners itself. */
  readonly usesReportedLoad: boolean = false

  /** Returns the runner to use, or undefined when none may take the request now. */
  abstract selectRunner (selection: SelectionRequest, holders: readonly RunnerReport[], context: SelectionContext): RunnerReport | undefined

  /** Returns the holders to prefer in a reservation; undefined when this strategy makes no reservations. */
  listPreferred (_request: RoutedRequest, _holders: readonly RunnerReport[]): RunnerReport[] | undefined {
    return undefined
  }
}

/** Preferred runners of one prefix; also the limit on the upstreams that one crashing request can reach. */
const CANDIDATES_PER_PREFIX = 2

/** Ranks runners by rendezvous hashing of the prefix key, so that all daemons agree on the ranking without coordination. */
function rankByRendezvousHash (prefixKey: string, holders: readonly RunnerReport[]): RunnerReport[] {
  return holders.map((report) => ({ report, hash: hashText(`${prefixKey}/${report.runner}`) }))
    .sort((a, b) => a.hash < b.hash ? -1 : 1)
    .map((entry) => entry.report)
}

/**
 * Prefix affinity: picks the runner with the lower predicted time to first token out of the prefix's two candidates,
 * and another runner only if neither candidate can take the request.
 */
export class AffinitySelector extends RunnerSelector {
  /**
   * @example
   * const selector = AffinitySelector.create()
   */
  static create (): AffinitySelector {
    return new AffinitySelector()
  }

  override selectRunner (selection: SelectionRequest, holders: readonly RunnerReport[], context: SelectionContext): RunnerReport | undefined {
    const ranked = rankByRendezvousHash(selection.request.prefixKey, holders)
    const candidate = this.selectBest(selection, ranked.slice(0, CANDIDATES_PER_PREFIX), context)
    if (candidate !== undefined) return candidate
    const isCandidateDown = ranked.slice(0, CANDIDATES_PER_PREFIX).some((report) => report.downSinceMs !== undefined)
    // A suspect may have crashed its candidates; it must not reach a third runner.
    if (selection.isSuspect && isCandidateDown) return undefined
    return this.selectBest(selection, ranked.slice(CANDIDATES_PER_PREFIX), context)
  }

  override listPreferred (request: RoutedRequest, holders: readonly RunnerReport[]): RunnerReport[] {
    return rankByRendezvousHash(request.prefixKey, holders).slice(0, CANDIDATES_PER_PREFIX)
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

/** Baseline for comparison: round robin over the usable runners. */
export class RoundRobinSelector extends RunnerSelector {
  private nextIndex = 0

  /**
   * @example
   * const selector = RoundRobinSelector.create()
   */
  static create (): RoundRobinSelector {
    return new RoundRobinSelector()
  }

  override selectRunner (selection: SelectionRequest, holders: readonly RunnerReport[], { table }: SelectionContext): RunnerReport | undefined {
    const usable = holders.filter((report) => table.isUsable(report))
    this.nextIndex += 1
    return usable[this.nextIndex % Math.max(1, usable.length)]
  }
}

/** Baseline for comparison: the runner whose latest report shows the fewest running and waiting requests. */
export class LeastReportedLoadSelector extends RunnerSelector {
  override readonly usesReportedLoad = true

  /**
   * @example
   * const selector = LeastReportedLoadSelector.create()
   */
  static create (): LeastReportedLoadSelector {
    return new LeastReportedLoadSelector()
  }

  override selectRunner (selection: SelectionRequest, holders: readonly RunnerReport[], { table }: SelectionContext): RunnerReport | undefined {
    const usable = holders.filter((report) => table.isUsable(report))
    const readLoad = (report: RunnerReport): number => report.state.load.running + report.state.load.waiting
    return usable.reduce<RunnerReport | undefined>((best, report) => best === undefined || readLoad(report) < readLoad(best) ? report : best, undefined)
  }
}

/**
 * Registers the selection strategies under their plug-in names; returns a function that unregisters them.
 *
 * @example
 * const unregister = registerRunnerSelectors(registry)
 */
export function registerRunnerSelectors (registry: PluginRegistry): () => void {
  const unregisterCallbacks = [
    registry.registerPlugin('runner-selector', 'affinity', AffinitySelector.create),
    registry.registerPlugin('runner-selector', 'round-robin', RoundRobinSelector.create),
    registry.registerPlugin('runner-selector', 'least-reported', LeastReportedLoadSelector.create)
  ]
  return () => unregisterCallbacks.forEach((unregister) => unregister())
}
