/** Asks runners for their state, one task for each that this daemon watches. */
import type { Clock, Logger, TaskGroup } from 'figquay'
import type { Membership, Vm } from 'figquay-membership'
import type { EngineClient } from 'figquay-upstreams'
import type { RunnerReport, RunnerTable } from './FigquayRoutingRunnerTable.js'

/** What the monitor needs. */
export interface EngineMonitorOptions {
  readonly clock: Clock
  readonly logger: Logger
  readonly membership: Membership
  readonly engines: EngineClient
  readonly table: RunnerTable
  /** Whether this daemon has to ask a runner itself; of others it is told. */
  readonly isPolledLocally: (vm: Vm) => boolean
  /** Whether the loads that runners report are used: then busy ones are asked often. */
  readonly usesReportedLoad: boolean
  /** Called after each report. */
  readonly onReport: (report: RunnerReport) => void
}

/** How often a runner is asked on which something moves, or which does not answer, in milliseconds. */
const FAST_POLL_MS = 300
/** How often any other runner is asked, in milliseconds: what is sent to it is known without asking. */
const SLOW_POLL_MS = 1_000
/** How often it is looked whether other runners have to be watched, in milliseconds. */
const REVIEW_MS = 400
/** A runner is asked again by a request that needs it no sooner than this, in milliseconds. */
const REFRESH_PAUSE_MS = 200
const FAILURES_TO_DOWN = 3

/** Keeps the runner table up to date. */
export class EngineMonitor {
  private readonly watched = new Set<string>()
  private readonly refreshing = new Set<string>()
  /** When the last poll that has ended was begun, by runner. */
  private readonly askedAtMs = new Map<string, number>()

  private constructor (private readonly options: EngineMonitorOptions) {}

  /**
   * @example
   * const monitor = EngineMonitor.create(options)
   */
  static create (options: EngineMonitorOptions): EngineMonitor {
    return new EngineMonitor(options)
  }

  /**
   * Starts a task for every runner to be watched, now and as they come.
   *
   * @example
   * monitor.start(tasks)
   */
  start (tasks: TaskGroup): void {
    tasks.startLoop('review runners', REVIEW_MS, async () => this.watchListed(tasks))
    this.options.membership.registerListener(() => this.watchListed(tasks))
  }

  /**
   * Asks a runner at once; true when it is the process that the table knows.
   *
   * @example
   * const isSame = await monitor.probeRunner('engine-2')
   */
  async probeRunner (runner: string): Promise<boolean> {
    const vm = this.options.membership.findVm(runner)
    const before = this.options.table.findReport(runner)?.state.bootId
    if (vm === undefined) return false
    const failure = await this.pollRunner(vm)
    // No answer right after a broken exchange is taken for a crash until the same process reports again.
    if (failure !== undefined) this.options.table.markDown(runner)
    return failure === undefined && this.options.table.findReport(runner)?.state.bootId === before
  }

  /**
   * Asks the runners of a pool whose last answer is older than a time, each once at a time.
   * True when there are none: what the table says of the pool is newer.
   *
   * @example
   * if (!monitor.refreshRunners('manual', request.arrivedAtMs)) return
   */
  refreshRunners (pool: string, sinceMs: number): boolean {
    const older = this.options.membership.listVms('engine').filter((vm) => vm.group === pool && (this.askedAtMs.get(vm.id) ?? 0) < sinceMs)
    for (const vm of older) {
      if (this.refreshing.has(vm.id)) continue
      this.refreshing.add(vm.id)
      this.refreshRunner(vm).finally(() => this.refreshing.delete(vm.id))
    }
    return older.length === 0
  }

  private async refreshRunner (vm: Vm): Promise<void> {
    await this.pollRunner(vm)
    await this.options.clock.waitFor(REFRESH_PAUSE_MS)
  }

  private watchListed (tasks: TaskGroup): void {
    const listed = this.options.membership.listVms('engine')
    this.options.table.keepOnly(new Set(listed.map((vm) => vm.id)))
    for (const vm of listed) {
      if (this.watched.has(vm.id) || !this.options.isPolledLocally(vm)) continue
      this.watched.add(vm.id)
      tasks.startTask(`runner ${vm.id}`, (signal) => this.watchRunner(vm.id, signal))
    }
  }

  private async watchRunner (runner: string, signal: AbortSignal): Promise<void> {
    let failures = 0
    while (!signal.aborted) {
      const vm = this.options.membership.findVm(runner)
      if (vm === undefined || !this.options.isPolledLocally(vm)) break
      const failure = await this.pollRunner(vm)
      failures = failure === undefined ? 0 : failures + 1
      if (failures >= FAILURES_TO_DOWN) this.options.table.markDown(runner)
      await this.options.clock.waitFor(failures > 0 || this.isMoving(runner) || this.isLoadNeeded(runner) ? FAST_POLL_MS : SLOW_POLL_MS, signal)
    }
    this.watched.delete(runner)
  }

  private isLoadNeeded (runner: string): boolean {
    const load = this.options.table.findReport(runner)?.state.load
    return this.options.usesReportedLoad && load !== undefined && load.running + load.waiting > 0
  }

  /** Whether models or adapters come or go on a runner, or nothing is known of it. */
  private isMoving (runner: string): boolean {
    const report = this.options.table.findReport(runner)
    if (report === undefined || report.downSinceMs !== undefined) return true
    return [...report.state.models, ...report.state.adapters].some((held) => held.phase !== 'ready')
  }

  /** Undefined when the runner answered, else why not. */
  private async pollRunner (vm: Vm): Promise<string | undefined> {
    const requestedAtMs = this.options.clock.readMonotonicMs()
    const state = await this.options.engines.readState(vm.url)
    this.askedAtMs.set(vm.id, requestedAtMs)
    if (!state.ok) return state.error.reason
    if (state.value.leaving) this.options.membership.markLeaving(vm.id, 'vm')
    const report: RunnerReport = {
      runner: vm.id,
      url: vm.url,
      zone: vm.zone,
      state: state.value,
      requestedAtMs,
      receivedAtMs: this.options.clock.readMonotonicMs(),
      downSinceMs: undefined
    }
    this.options.table.putReport(report)
    this.options.onReport(report)
    return undefined
  }
}
