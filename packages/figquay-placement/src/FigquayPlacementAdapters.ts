/** Preloads adapters on the runners that have their model, and loads those that requests wait for. */
import type { Clock } from 'figquay'
import type { Configuration, Pool } from 'figquay-contracts'
import type { RunnerReport, RunnerTable } from 'figquay-routing'
import { RunnerLedger, type ReplicaState } from './FigquayPlacementLedger.js'
import type { OrderDispatcher } from './FigquayPlacementOrders.js'
import type { PlacementInput } from './FigquayPlacementPolicy.js'
import type { MoveRecord } from './FigquayPlacementTypes.js'
import { makeModelId } from './FigquayPlacementUtils.js'

/** Dependencies of the adapter loader. */
export interface AdapterLoaderOptions {
  readonly orders: OrderDispatcher
  readonly table: RunnerTable
  readonly clock: Clock
  readonly recordMove: (move: Omit<MoveRecord, 'at'>) => void
}

/** A runner, with the cell and pool that its orders need. */
export interface AdapterTarget {
  readonly cell: string
  readonly pool: Pool
  readonly runner: string
}

/** An adapter, with the id that engines use. */
export interface AdapterSpec {
  /** `model:adapter`. */
  readonly id: string
  readonly bytes: number
}

const ADAPTER_LOAD_TIMEOUT_MS = 800
const ADAPTER_POLL_INTERVAL_MS = 20

/** Loads and evicts adapters on the runners of this daemon's cells. */
export class AdapterLoader {
  /** Monotonic time of the last use, by `runner/adapter`. */
  private readonly lastUsedAtMs = new Map<string, number>()

  private constructor (private readonly options: AdapterLoaderOptions) {}

  /**
   * @example
   * const adapterLoader = AdapterLoader.create({ orders, table, clock, recordMove })
   */
  static create (options: AdapterLoaderOptions): AdapterLoader {
    return new AdapterLoader(options)
  }

  /**
   * Loads an adapter that a request waits for; returns false if it isn't ready in time.
   *
   * @example
   * const isReady = await adapterLoader.loadAdapter({ cell, pool, runner }, { id: 'manual-3:cairo', bytes })
   */
  async loadAdapter (target: AdapterTarget, adapter: AdapterSpec): Promise<boolean> {
    const { clock, table } = this.options
    this.lastUsedAtMs.set(`${target.runner}/${adapter.id}`, clock.readMonotonicMs())
    const deadlineMs = clock.readMonotonicMs() + ADAPTER_LOAD_TIMEOUT_MS
    while (clock.readMonotonicMs() < deadlineMs) {
      const report = table.findReport(target.runner)
      if (report === undefined) return false
      if (report.state.adapters.some((candidate) => candidate.id === adapter.id && candidate.phase === 'ready')) return true
      await this.requestAdapterLoad(target, report, adapter)
      await clock.waitFor(ADAPTER_POLL_INTERVAL_MS)
    }
    return false
  }

  /**
   * Preloads the adapters of the models that are ready on each runner, as far as memory allows, since adapters are small.
   *
   * @example
   * await adapterLoader.preloadAdapters(cell, pool, configuration, input)
   */
  async preloadAdapters (cell: string, pool: Pool, configuration: Configuration, input: PlacementInput): Promise<void> {
    let loadsLeft = configuration.deployment.policy.adaptersAtOnce
    for (const runner of input.runners.filter((candidate) => candidate.isSchedulable)) {
      const report = this.options.table.findReport(runner.id)
      if (report === undefined) continue
      loadsLeft -= report.state.adapters.filter((adapter) => adapter.phase === 'loading').length
      loadsLeft = await this.preloadOnRunner({ cell, pool, runner: runner.id }, report, listWantedAdapters(configuration, runner.replicas), loadsLeft)
      if (loadsLeft <= 0) return
    }
  }

  /** Orders the missing adapters; returns how many more loads may be started. */
  private async preloadOnRunner (target: AdapterTarget, report: RunnerReport, wanted: readonly AdapterSpec[], maxLoads: number): Promise<number> {
    let loadsLeft = maxLoads
    let freeBytes = target.pool.adapterMemory - this.makeLedger(report).sumReservedBytes('adapters')
    const pendingOrders: Array<Promise<void>> = []
    for (const adapter of wanted) {
      if (loadsLeft <= 0 || adapter.bytes > freeBytes || this.hasReplica(report, adapter.id)) continue
      loadsLeft -= 1
      freeBytes -= adapter.bytes
      pendingOrders.push(this.requestAdapterLoad(target, report, adapter))
    }
    await Promise.all(pendingOrders)
    return loadsLeft
  }

  private makeLedger (report: RunnerReport): RunnerLedger {
    return RunnerLedger.create(report.state, this.options.orders.listOpenOrders(report.runner))
  }

  private hasReplica (report: RunnerReport, id: string): boolean {
    return this.makeLedger(report).listReplicas('adapters').some((replica) => replica.id === id)
  }

  /** Orders an adapter unless it is loaded or ordered. Without enough memory, evicts the least recently used one instead. */
  private async requestAdapterLoad (target: AdapterTarget, report: RunnerReport, adapter: AdapterSpec): Promise<void> {
    const { cell, pool } = target
    if (this.hasReplica(report, adapter.id) || !await this.options.orders.prepareRunner(cell, pool, report)) return
    if (this.makeLedger(report).sumReservedBytes('adapters') + adapter.bytes <= pool.adapterMemory) {
      const result = await this.options.orders.sendOrder({ cell, pool, report, action: 'load-adapter', subject: adapter.id, bytes: adapter.bytes })
      this.options.recordMove({ action: 'load-adapter', runner: report.runner, subject: adapter.id, reason: 'its model is loaded on the runner', result: result ?? 'unknown' })
      return
    }
    const victim = this.findEvictionVictim(report)
    if (victim === undefined) return
    const result = await this.options.orders.sendOrder({ cell, pool, report, action: 'unload-adapter', subject: victim.id, bytes: victim.bytes })
    this.options.recordMove({ action: 'unload-adapter', runner: report.runner, subject: victim.id, reason: 'evicted to make room for another adapter', result: result ?? 'unknown' })
  }

  /** Finds the least recently used adapter that is ready; undefined while another one is being unloaded. */
  private findEvictionVictim (report: RunnerReport): ReplicaState | undefined {
    const ledger = this.makeLedger(report)
    const replicas = ledger.listReplicas('adapters')
    if (replicas.some((replica) => replica.phase === 'leaving')) return undefined
    const readLastUsedAtMs = (id: string): number => this.lastUsedAtMs.get(`${report.runner}/${id}`) ?? 0
    return replicas.filter((replica) => replica.phase === 'ready' && !ledger.hasOpenOrder(replica.id)).sort((a, b) => readLastUsedAtMs(a.id) - readLastUsedAtMs(b.id))[0]
  }
}

/** Lists the adapters of the models that are ready on a runner. */
function listWantedAdapters (configuration: Configuration, replicas: readonly ReplicaState[]): AdapterSpec[] {
  return configuration.deployment.models
    .filter((model) => replicas.some((replica) => replica.id === makeModelId(model) && replica.phase === 'ready'))
    .flatMap((model) => model.adapters.map((adapter) => ({ id: `${model.name}:${adapter.name}`, bytes: adapter.size })))
}
