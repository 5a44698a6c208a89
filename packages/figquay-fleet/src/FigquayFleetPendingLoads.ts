/** Loads that the leader has started: when they are expected to be ready, and which of them are lost. Pure: time is a parameter. */
import type { Runner } from './FigquayFleetTypes.js'

/** A load that was started and is neither finished nor lost. */
export interface PendingLoad {
  readonly service: string
  readonly model: string
  readonly runner: string
  /** Start time of the runner's process, in milliseconds: one that has restarted doesn't go on with the load. */
  readonly bornMs: number
  readonly expectedAtMs: number
  readonly expiresAtMs: number
  readonly isFromStore: boolean
  /** The runner has been sent the order; before that, replicas are evicted. */
  isOrdered: boolean
}

/** The loads of one model. */
export interface ModelLoads {
  /** Time until the first of them is expected to be ready, in milliseconds; undefined if there is none. */
  readonly readyInMs: number | undefined
  readonly loadingReplicas: number
}

const NO_LOADS: ModelLoads = { readyInMs: undefined, loadingReplicas: 0 }

/**
 * Time until a load is ready, in milliseconds. An overdue load is expected to take as long again as it is late, so that
 * nothing waits for it forever.
 *
 * @example
 * estimateRemainingMs(load, nowMs)
 */
export function estimateRemainingMs ({ expectedAtMs }: Pick<PendingLoad, 'expectedAtMs'>, nowMs: number): number {
  return Math.abs(expectedAtMs - nowMs)
}

/** The pending loads of one leader. */
export class PendingLoads {
  private readonly loads = new Set<PendingLoad>()

  private constructor () {}

  /**
   * @example
   * const loads = PendingLoads.create()
   */
  static create (): PendingLoads {
    return new PendingLoads()
  }

  add (load: PendingLoad): void {
    this.loads.add(load)
  }

  delete (load: PendingLoad): void {
    this.loads.delete(load)
  }

  has (load: PendingLoad): boolean {
    return this.loads.has(load)
  }

  clear (): void {
    this.loads.clear()
  }

  get count (): number {
    return this.loads.size
  }

  /** Number of loads from the weight store. */
  get storeLoadCount (): number {
    return [...this.loads].filter((load) => load.isFromStore).length
  }

  /**
   * Drops the loads that have expired, and those whose runner is gone, leaves or has restarted; returns the latter.
   *
   * @example
   * for (const load of loads.dropLost((id) => table.findRunner(id), nowMs)) logLost(load)
   */
  dropLost (findRunner: (id: string) => Runner | undefined, nowMs: number): PendingLoad[] {
    const lost = [...this.loads].filter(({ runner: id, bornMs }) => {
      const runner = findRunner(id)
      return runner === undefined || runner.isLeaving || runner.bornMs !== bornMs
    })
    for (const load of [...lost, ...[...this.loads].filter(({ expiresAtMs }) => nowMs > expiresAtMs)]) this.loads.delete(load)
    return lost
  }

  /** The load on a runner, by runner. */
  indexByRunner (): Map<string, PendingLoad> {
    return new Map([...this.loads].map((load) => [load.runner, load]))
  }

  /**
   * Summarises the loads of each model of a service.
   *
   * @param isResponsive Whether a runner has answered lately. A load on one that hasn't counts with the time at which it
   * expires, so that requests needn't wait for it.
   * @example
   * const byModel = loads.summarise('assistant', isResponsive, nowMs)
   */
  summarise (service: string, isResponsive: (runner: string) => boolean, nowMs: number): (model: string) => ModelLoads {
    const byModel = new Map<string, ModelLoads>()
    for (const load of this.loads) {
      if (load.service !== service) continue
      const known = byModel.get(load.model) ?? NO_LOADS
      const readyInMs = isResponsive(load.runner) ? estimateRemainingMs(load, nowMs) : load.expiresAtMs - nowMs
      byModel.set(load.model, { readyInMs: Math.min(readyInMs, known.readyInMs ?? readyInMs), loadingReplicas: known.loadingReplicas + 1 })
    }
    return (model) => byModel.get(model) ?? NO_LOADS
  }

  /** Loads of a model. */
  listLoads (service: string, model: string): PendingLoad[] {
    return [...this.loads].filter((load) => load.service === service && load.model === model)
  }
}
