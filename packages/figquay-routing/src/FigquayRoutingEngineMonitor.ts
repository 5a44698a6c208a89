/** Polls the state of runners, with one task for each runner that this daemon polls itself. */
import type { Clock, Logger, TaskGroup } from 'figquay'
import type { Membership, Vm } from 'figquay-membership'
import type { EngineClient } from 'figquay-upstreams'
import type { RunnerReport, RunnerTable } from './FigquayRoutingRunnerTable.js'

/** Dependencies of the engine monitor. */
export interface EngineMonitorOptions {
  readonly clock: Clock
  readonly logger: Logger
  readonly membership: Membership
  readonly engines: EngineClient
  readonly table: RunnerTable
  /** Whether this daemon polls a runner itself; peers share the reports of the others. */
  readonly isPolledLocally: (vm: Vm) => boolean
  /** Whether runner selection uses the reported loads; if so, busy runners are polled at the fast interval. */
  readonly usesReportedLoad: boolean
  /** Called after each report that was polled. */
  readonly onReport: (report: RunnerReport) => void
}

/** Poll interval of runners that are failing, or that are loading or unloading something. */
const FAST_POLL_INTERVAL_MS = 300
/** Poll interval of other runners: the daemons track the requests that they send without polling. */
const SLOW_POLL_INTERVAL_MS = 1_000
/** How often the set of poll loops is compared with the runners to poll. */
const RECONCILE_INTERVAL_MS = 400
/** Shortest time between two polls of a runner on behalf of waiting requests. */
const MIN_REFRESH_INTERVAL_MS = 200
const CONSECUTIVE_FAILURES_UNTIL_DOWN = 3

/** Keeps the runner table up to date by polling. */
export class EngineMonitor {
  private readonly polled = new Set<string>()
  private readonly refreshing = new Set<string>()
  /** Start time of the latest completed poll, by runner. */
  private readonly lastPollStartedAtMs = new Map<string, number>()

  private constructor (private readonly options: EngineMonitorOptions) {}

  /**
   * @example
   * const monitor = EngineMonitor.create(options)
   */
  static create (options: EngineMonitorOptions): EngineMonitor {
    return new EngineMonitor(options)
  }

  /**
   * Starts a poll loop for every runner that this daemon polls, now and whenever the set changes.
   *
   * @example
   * monitor.start(tasks)
   */
  start (tasks: TaskGroup): void {
    tasks.startLoop('reconcile runner polling', RECONCILE_INTERVAL_MS, async () => this.reconcilePollLoops(tasks))
    this.options.membership.registerListener(() => this.reconcilePollLoops(tasks))
  }

  /**
   * Polls a runner at once; true when it answers and is the process of the last report.
   * A runner that does not answer is marked down.
   *
   * @example
   * const isSame = await monitor.probeRunner('engine-2')
   */
  async probeRunner (runner: string): Promise<boolean> {
    const vm = this.options.membership.findVm(runner)
    const knownBootId = this.options.table.findReport(runner)?.state.bootId
    if (vm === undefined) return false
    const failure = await this.pollRunner(vm)
    // After a failed exchange, no answer is treated as a crash until the same process reports again.
    if (failure !== undefined) this.options.table.markDown(runner)
    return failure === undefined && this.options.table.findReport(runner)?.state.bootId === knownBootId
  }

  /**
   * Starts a poll of each runner of a pool whose latest poll began before a given time, at most one per runner.
   * True when there is none, that is, when the table is at least that recent for the whole pool.
   *
   * @example
   * if (!monitor.refreshRunners('manual', request.arrivedAtMs)) return
   */
  refreshRunners (pool: string, sinceMs: number): boolean {
    const stale = this.options.membership.listVms('engine').filter((vm) => vm.group === pool && (this.lastPollStartedAtMs.get(vm.id) ?? 0) < sinceMs)
    for (const vm of stale) {
      if (this.refreshing.has(vm.id)) continue
      this.refreshing.add(vm.id)
      this.refreshRunner(vm).finally(() => this.refreshing.delete(vm.id))
    }
    return stale.length === 0
  }

  private async refreshRunner (vm: Vm): Promise<void> {
    await this.pollRunner(vm)
    await this.options.clock.waitFor(MIN_REFRESH_INTERVAL_MS)
  }

  private reconcilePollLoops (tasks: TaskGroup): void {
    const vms = this.options.membership.listVms('engine')
    this.options.table.retainRunners(new Set(vms.map((vm) => vm.id)))
    for (const vm of vms) {
      if (this.polled.has(vm.id) || !this.options.isPolledLocally(vm)) continue
      this.polled.add(vm.id)
      tasks.startTask(`poll runner ${vm.id}`, (signal) => this.runPollLoop(vm.id, signal))
    }
  }

  private async runPollLoop (runner: string, signal: AbortSignal): Promise<void> {
    let failures = 0
    while (!signal.aborted) {
      const vm = this.options.membership.findVm(runner)
      if (vm === undefined || !this.options.isPolledLocally(vm)) break
      const failure = await this.pollRunner(vm)
      failures = failure === undefined ? 0 : failures + 1
      if (failures >= CONSECUTIVE_FAILURES_UNTIL_DOWN) this.options.table.markDown(runner)
      await this.options.clock.waitFor(failures > 0 || this.isInTransition(runner) || this.isFreshLoadNeeded(runner) ? FAST_POLL_INTERVAL_MS : SLOW_POLL_INTERVAL_MS, signal)
    }
    this.polled.delete(runner)
  }

  private isFreshLoadNeeded (runner: string): boolean {
    const load = this.options.table.findReport(runner)?.state.load
    return this.options.usesReportedLoad && load !== undefined && load.running + load.waiting > 0
  }

  /** Whether a runner is loading or unloading a model or adapter, is down, or has no report yet. */
  private isInTransition (runner: string): boolean {
    const report = this.options.table.findReport(runner)
    if (report === undefined || report.downSinceMs !== undefined) return true
    return [...report.state.models, ...report.state.adapters].some((item) => item.phase !== 'ready')
  }

  /** Polls a runner once and stores its report; returns the failure reason, or undefined on success. */
  private async pollRunner (vm: Vm): Promise<string | undefined> {
    const requestedAtMs = this.options.clock.readMonotonicMs()
    const state = await this.options.engines.readState(vm.url)
    this.lastPollStartedAtMs.set(vm.id, requestedAtMs)
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
