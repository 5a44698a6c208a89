/**
 * Synchronises runner reports between daemons: the lease holder of a cell (a pool, or its part in one data centre) polls
 * the runners and publishes changes as versions, which the other daemons follow.
 */
import type { Clock } from 'figquay'
import type { Membership, Vm } from 'figquay-membership'
import type { Hints, PeerMesh } from 'figquay-peers'
import type { RunnerReport, RunnerTable } from 'figquay-routing'
import type { EngineState } from 'figquay-upstreams'

/** Dependencies of the report synchronisation. */
export interface RunnerReportSyncOptions {
  readonly daemon: string
  readonly clock: Clock
  readonly mesh: PeerMesh
  readonly membership: Membership
  readonly table: RunnerTable
  readonly findCell: (vm: Vm) => string
  /** Returns the daemon that holds the lease on a cell; undefined while none does. */
  readonly findHolder: (cell: string) => string | undefined
  /** Called when the version of a held cell changes, to notify peers without delay. */
  readonly onVersionChange: () => void
  /** Called after each report received from a peer. */
  readonly onReport: (report: RunnerReport) => void
}

/** Requests the changes in a cell from its lease holder. */
export interface ReportsRequest {
  readonly cell: string
  /** Version known to the requester; 0 to request all reports. */
  readonly since: number
}

/** State of a runner as known to the lease holder of its cell. */
export interface RunnerReportUpdate {
  readonly runner: string
  readonly state: EngineState
  readonly isDown: boolean
}

/** Current version of a cell, and the reports that changed since the requested version. */
export interface ReportsReply {
  readonly version: number
  readonly reports: readonly RunnerReportUpdate[]
}

interface PublishedReport {
  readonly version: number
  /** Serialised fields whose change makes a new version. */
  readonly serialisedState: string
}

/** A cell whose reports come from its lease holder. */
interface FollowedCell {
  readonly holder: string
  readonly version: number
  readonly confirmedAtMs: number
}

/** A cell that its lease holder has not confirmed for this long is polled by every daemon. */
const FOLLOWED_CELL_TTL_MS = 1_800

/** Publishes the reports of the cells that this daemon holds the lease on, and follows those of other lease holders. */
export class RunnerReportSync {
  private readonly publishedReports = new Map<string, PublishedReport>()
  private readonly versionsByCell = new Map<string, number>()
  private readonly followedCells = new Map<string, FollowedCell>()
  private readonly cellsBeingFetched = new Set<string>()

  private constructor (private readonly options: RunnerReportSyncOptions) {
    options.table.registerListener((report) => this.publishReport(report))
  }

  /**
   * @example
   * const reportSync = RunnerReportSync.create(options)
   */
  static create (options: RunnerReportSyncOptions): RunnerReportSync {
    return new RunnerReportSync(options)
  }

  /**
   * Whether this daemon has to poll a runner itself: because it holds the lease on the cell, because no lease holder
   * supplies current reports, or because the runner is down and may have come back.
   *
   * @example
   * if (reportSync.isPolledLocally(vm)) await pollRunner(vm)
   */
  isPolledLocally (vm: Vm): boolean {
    const cell = this.options.findCell(vm)
    if (this.options.findHolder(cell) === this.options.daemon) return true
    const isDown = this.options.table.findReport(vm.id)?.downSinceMs !== undefined
    return isDown || !this.isFollowed(cell)
  }

  /** Returns the version of each cell that this daemon holds the lease on, for the hints to peers. */
  listHeldCellVersions (): Record<string, number> {
    return Object.fromEntries([...this.versionsByCell].filter(([cell]) => this.options.findHolder(cell) === this.options.daemon))
  }

  /**
   * Follows the cells that a peer holds the lease on: confirms those with a known version, fetches the changes of the others.
   *
   * @example
   * await reportSync.applyHints(hints)
   */
  async applyHints (hints: Hints): Promise<void> {
    for (const [cell, version] of Object.entries(hints.cells)) {
      if (this.options.findHolder(cell) !== hints.daemon) continue
      const known = this.followedCells.get(cell)
      if (known?.holder === hints.daemon && known.version === version) this.confirmCell(cell, known)
      else await this.fetchUpdates(cell, hints.daemon, version)
    }
  }

  /** Handles a request for the changes in a cell. */
  handleRead ({ cell, since }: ReportsRequest): ReportsReply {
    const reports = this.listRunnersInCell(cell).flatMap((runner) => this.exportUpdates(runner, since))
    return { version: this.versionsByCell.get(cell) ?? 0, reports }
  }

  private isFollowed (cell: string): boolean {
    const known = this.followedCells.get(cell)
    if (known === undefined || known.holder !== this.options.findHolder(cell)) return false
    const isRecent = this.options.clock.readMonotonicMs() - known.confirmedAtMs < FOLLOWED_CELL_TTL_MS
    return isRecent && this.options.mesh.isConnected(known.holder)
  }

  /** Publishes a changed report. The load changes all the time and makes no version: the lease holder tracks pending work itself. */
  private publishReport (report: RunnerReport): void {
    const vm = this.options.membership.findVm(report.runner)
    if (vm === undefined || report.requestedAtMs === 0) return
    const { bootId, leaving, models, adapters } = report.state
    const serialisedState = JSON.stringify([bootId, leaving, models, adapters, report.downSinceMs !== undefined])
    if (this.publishedReports.get(report.runner)?.serialisedState === serialisedState) return
    const cell = this.options.findCell(vm)
    // Based on the clock, so that versions from different lease holders, or from before and after a restart of one, do not collide.
    const version = Math.max(this.options.clock.now().getTime(), (this.versionsByCell.get(cell) ?? 0) + 1)
    this.versionsByCell.set(cell, version)
    this.publishedReports.set(report.runner, { version, serialisedState })
    if (this.options.findHolder(cell) === this.options.daemon) this.options.onVersionChange()
  }

  private exportUpdates (runner: string, since: number): RunnerReportUpdate[] {
    const report = this.options.table.findReport(runner)
    const version = this.publishedReports.get(runner)?.version ?? 0
    if (report === undefined || version <= since) return []
    return [{ runner, state: { ...report.state, cachedPrefixes: [] }, isDown: report.downSinceMs !== undefined }]
  }

  private async fetchUpdates (cell: string, holder: string, version: number): Promise<void> {
    if (this.cellsBeingFetched.has(cell)) return
    this.cellsBeingFetched.add(cell)
    const known = this.followedCells.get(cell)
    // After a lease holder was replaced, its versions may be lower than the known one: fetch all reports.
    const isNewer = known?.holder === holder && known.version < version
    const request: ReportsRequest = { cell, since: isNewer ? known.version : 0 }
    const reply = await this.options.mesh.callPeer<ReportsReply>(holder, 'reports.read', request)
    this.cellsBeingFetched.delete(cell)
    if (!reply.ok) return
    for (const report of reply.value.reports) this.applyUpdate(report)
    this.confirmCell(cell, { holder, version: reply.value.version, confirmedAtMs: 0 })
  }

  private applyUpdate ({ runner, state, isDown }: RunnerReportUpdate): void {
    const vm = this.options.membership.findVm(runner)
    if (vm === undefined) return
    const nowMs = this.options.clock.readMonotonicMs()
    const report: RunnerReport = { runner, url: vm.url, zone: vm.zone, state, requestedAtMs: 0, receivedAtMs: nowMs, downSinceMs: isDown ? nowMs : undefined }
    this.options.table.putReport(report)
    this.options.onReport(report)
  }

  private confirmCell (cell: string, known: FollowedCell): void {
    this.followedCells.set(cell, { ...known, confirmedAtMs: this.options.clock.readMonotonicMs() })
    this.options.table.confirmReports(this.listRunnersInCell(cell))
  }

  private listRunnersInCell (cell: string): string[] {
    return this.options.membership.listVms('engine').filter((vm) => this.options.findCell(vm) === cell).map((vm) => vm.id)
  }
}
