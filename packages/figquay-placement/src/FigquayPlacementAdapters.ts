/** Keeps adapters on the runners that hold their models, and loads those that a request waits for. */
import type { Clock } from 'figquay'
import type { Configuration, Pool } from 'figquay-contracts'
import type { RunnerReport, RunnerTable } from 'figquay-routing'
import { RunnerLedger, type CountedCopy } from './FigquayPlacementLedger.js'
import type { OrderDispatcher } from './FigquayPlacementOrders.js'
import type { PlanView } from './FigquayPlacementPolicy.js'
import type { MoveRecord } from './FigquayPlacementTypes.js'
import { makeModelId } from './FigquayPlacementUtils.js'

/** What the keeper needs. */
export interface AdapterKeeperOptions {
  readonly orders: OrderDispatcher
  readonly table: RunnerTable
  readonly clock: Clock
  readonly noteMove: (move: Omit<MoveRecord, 'at'>) => void
}

/** A runner with what orders to it need. */
export interface AdapterTarget {
  readonly cell: string
  readonly pool: Pool
  readonly runner: string
}

/** An adapter as engines know it. */
export interface AdapterSubject {
  /** `model:adapter`. */
  readonly id: string
  readonly bytes: number
}

const ADAPTER_WAIT_MS = 800
const ADAPTER_POLL_MS = 20

/** Adapters of one daemon's cells. */
export class AdapterKeeper {
  private readonly usedAtMs = new Map<string, number>()

  private constructor (private readonly options: AdapterKeeperOptions) {}

  /**
   * @example
   * const adapters = AdapterKeeper.create({ orders, table, clock, noteMove })
   */
  static create (options: AdapterKeeperOptions): AdapterKeeper {
    return new AdapterKeeper(options)
  }

  /**
   * Loads an adapter that a request waits for; false when it is not ready in time.
   *
   * @example
   * const isReady = await adapters.loadAdapter({ cell, pool, runner }, { id: 'manual-3:cairo', bytes })
   */
  async loadAdapter (target: AdapterTarget, adapter: AdapterSubject): Promise<boolean> {
    const { clock, table } = this.options
    this.usedAtMs.set(`${target.runner}/${adapter.id}`, clock.readMonotonicMs())
    const deadline = clock.readMonotonicMs() + ADAPTER_WAIT_MS
    while (clock.readMonotonicMs() < deadline) {
      const report = table.findReport(target.runner)
      if (report === undefined) return false
      if (report.state.adapters.some((candidate) => candidate.id === adapter.id && candidate.phase === 'ready')) return true
      await this.orderAdapter(target, report, adapter)
      await clock.waitFor(ADAPTER_POLL_MS)
    }
    return false
  }

  /**
   * Adapters are small: those of every model that a runner holds are kept there, as far as there is room.
   *
   * @example
   * await adapters.keepAdapters(cell, pool, configuration, view)
   */
  async keepAdapters (cell: string, pool: Pool, configuration: Configuration, view: PlanView): Promise<void> {
    let left = configuration.deployment.policy.adaptersAtOnce
    for (const runner of view.runners.filter((candidate) => candidate.isUsable)) {
      const report = this.options.table.findReport(runner.id)
      if (report === undefined) continue
      left -= report.state.adapters.filter((adapter) => adapter.phase === 'loading').length
      left = await this.keepOnRunner({ cell, pool, runner: runner.id }, report, listWanted(configuration, runner.copies), left)
      if (left <= 0) return
    }
  }

  /** Orders what is missing; returns how many adapters may still be put in transit. */
  private async keepOnRunner (target: AdapterTarget, report: RunnerReport, wanted: readonly AdapterSubject[], atMost: number): Promise<number> {
    let left = atMost
    let room = target.pool.adapterMemory - this.readLedger(report).sumBytes('adapters')
    const orders: Array<Promise<void>> = []
    for (const adapter of wanted) {
      if (left <= 0 || adapter.bytes > room || this.isKnown(report, adapter.id)) continue
      left -= 1
      room -= adapter.bytes
      orders.push(this.orderAdapter(target, report, adapter))
    }
    await Promise.all(orders)
    return left
  }

  private readLedger (report: RunnerReport): RunnerLedger {
    return RunnerLedger.create(report.state, this.options.orders.listOpen(report.runner))
  }

  private isKnown (report: RunnerReport, id: string): boolean {
    return this.readLedger(report).listCopies('adapters').some((copy) => copy.id === id)
  }

  /** Orders an adapter if it is not there yet; makes room first by unloading the one that was used least recently. */
  private async orderAdapter (target: AdapterTarget, report: RunnerReport, adapter: AdapterSubject): Promise<void> {
    const { cell, pool } = target
    if (this.isKnown(report, adapter.id) || !await this.options.orders.prepareRunner(cell, pool, report)) return
    if (this.readLedger(report).sumBytes('adapters') + adapter.bytes <= pool.adapterMemory) {
      const result = await this.options.orders.sendOrder({ cell, pool, report, action: 'load-adapter', subject: adapter.id, bytes: adapter.bytes })
      this.options.noteMove({ action: 'load-adapter', runner: report.runner, subject: adapter.id, reason: 'kept with its model', result: result ?? 'unknown' })
      return
    }
    const victim = this.findVictim(report)
    if (victim === undefined) return
    const result = await this.options.orders.sendOrder({ cell, pool, report, action: 'unload-adapter', subject: victim.id, bytes: victim.bytes })
    this.options.noteMove({ action: 'unload-adapter', runner: report.runner, subject: victim.id, reason: 'makes room for another adapter', result: result ?? 'unknown' })
  }

  /** The ready adapter that was used least recently; none while another one is on its way out. */
  private findVictim (report: RunnerReport): CountedCopy | undefined {
    const ledger = this.readLedger(report)
    const copies = ledger.listCopies('adapters')
    if (copies.some((copy) => copy.phase === 'leaving')) return undefined
    const readUse = (id: string): number => this.usedAtMs.get(`${report.runner}/${id}`) ?? 0
    return copies.filter((copy) => copy.phase === 'ready' && !ledger.hasOpenOrder(copy.id)).sort((a, b) => readUse(a.id) - readUse(b.id))[0]
  }
}

/** Adapters of the models that are ready on a runner. */
function listWanted (configuration: Configuration, copies: readonly CountedCopy[]): AdapterSubject[] {
  return configuration.deployment.models
    .filter((model) => copies.some((copy) => copy.id === makeModelId(model) && copy.phase === 'ready'))
    .flatMap((model) => model.adapters.map((adapter) => ({ id: `${model.name}:${adapter.name}`, bytes: adapter.size })))
}
