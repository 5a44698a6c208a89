/** Reports of runners: the holder of a cell asks its runners and shares what changes; the others follow. */
import type { Clock } from 'figquay'
import type { Membership, Vm } from 'figquay-membership'
import type { Hints, PeerMesh } from 'figquay-peers'
import type { RunnerReport, RunnerTable } from 'figquay-routing'
import type { EngineState } from 'figquay-upstreams'

/** What sharing needs. */
export interface SharedReportsOptions {
  readonly daemon: string
  readonly clock: Clock
  readonly mesh: PeerMesh
  readonly membership: Membership
  readonly table: RunnerTable
  readonly findCell: (vm: Vm) => string
  /** Daemon that orders the runners of a cell; undefined while nobody does. */
  readonly findHolder: (cell: string) => string | undefined
  /** Tells peers of new versions without delay. */
  readonly onChange: () => void
  /** Called after each report that came from a peer. */
  readonly onReport: (report: RunnerReport) => void
}

/** Asks a holder for what has changed in a cell. */
export interface ReportsRequest {
  readonly cell: string
  /** Version that is known already; 0 for none. */
  readonly since: number
}

/** A runner as the holder of its cell sees it. */
export interface SharedReport {
  readonly runner: string
  readonly state: EngineState
  readonly isDown: boolean
}

/** What has changed in a cell. */
export interface ReportsReply {
  readonly version: number
  readonly reports: readonly SharedReport[]
}

interface PublishedReport {
  readonly version: number
  /** The part of the report whose change is news. */
  readonly digest: string
}

interface FollowedCell {
  readonly daemon: string
  readonly version: number
  readonly confirmedAtMs: number
}

/** A cell of which nothing was heard for this long is watched by everybody, in milliseconds. */
const COVERED_MS = 1_800

/** Both sides: the reports of cells that this daemon holds, and those that it is told of. */
export class SharedReports {
  private readonly published = new Map<string, PublishedReport>()
  private readonly versions = new Map<string, number>()
  private readonly followed = new Map<string, FollowedCell>()
  private readonly reading = new Set<string>()

  private constructor (private readonly options: SharedReportsOptions) {
    options.table.registerListener((report) => this.publishReport(report))
  }

  /**
   * @example
   * const reports = SharedReports.create(options)
   */
  static create (options: SharedReportsOptions): SharedReports {
    return new SharedReports(options)
  }

  /**
   * Whether a runner has to be asked by this daemon itself: it holds its cell, nobody tells of it,
   * or it was found gone and may be back.
   *
   * @example
   * if (reports.isWatched(vm)) await pollRunner(vm)
   */
  isWatched (vm: Vm): boolean {
    const cell = this.options.findCell(vm)
    if (this.options.findHolder(cell) === this.options.daemon) return true
    const isDown = this.options.table.findReport(vm.id)?.downSinceMs !== undefined
    return isDown || !this.isCovered(cell)
  }

  /** Version of each cell that this daemon holds, for the hints to peers. */
  listVersions (): Record<string, number> {
    return Object.fromEntries([...this.versions].filter(([cell]) => this.options.findHolder(cell) === this.options.daemon))
  }

  /**
   * Follows the cells that a peer holds: confirms what is known, or asks for what has changed.
   *
   * @example
   * await reports.takeHints(hints)
   */
  async takeHints (hints: Hints): Promise<void> {
    for (const [cell, version] of Object.entries(hints.cells)) {
      if (this.options.findHolder(cell) !== hints.daemon) continue
      const known = this.followed.get(cell)
      if (known?.daemon === hints.daemon && known.version === version) this.confirmCell(cell, known)
      else await this.readCell(cell, hints.daemon, version)
    }
  }

  /** Answers a daemon that follows a cell. */
  answerRead ({ cell, since }: ReportsRequest): ReportsReply {
    const reports = this.listRunners(cell).flatMap((runner) => this.exportReport(runner, since))
    return { version: this.versions.get(cell) ?? 0, reports }
  }

  private isCovered (cell: string): boolean {
    const known = this.followed.get(cell)
    if (known === undefined || known.daemon !== this.options.findHolder(cell)) return false
    const isRecent = this.options.clock.readMonotonicMs() - known.confirmedAtMs < COVERED_MS
    return isRecent && this.options.mesh.isConnected(known.daemon)
  }

  /** Loads change all the time and are no news: the holder keeps account of work itself. */
  private publishReport (report: RunnerReport): void {
    const vm = this.options.membership.findVm(report.runner)
    if (vm === undefined || report.requestedAtMs === 0) return
    const { bootId, leaving, models, adapters } = report.state
    const digest = JSON.stringify([bootId, leaving, models, adapters, report.downSinceMs !== undefined])
    if (this.published.get(report.runner)?.digest === digest) return
    const cell = this.options.findCell(vm)
    // Versions of different holders, or of a holder that was replaced, must not be taken for each other.
    const version = Math.max(this.options.clock.now().getTime(), (this.versions.get(cell) ?? 0) + 1)
    this.versions.set(cell, version)
    this.published.set(report.runner, { version, digest })
    if (this.options.findHolder(cell) === this.options.daemon) this.options.onChange()
  }

  private exportReport (runner: string, since: number): SharedReport[] {
    const report = this.options.table.findReport(runner)
    const version = this.published.get(runner)?.version ?? 0
    if (report === undefined || version <= since) return []
    return [{ runner, state: { ...report.state, cachedPrefixes: [] }, isDown: report.downSinceMs !== undefined }]
  }

  private async readCell (cell: string, daemon: string, version: number): Promise<void> {
    if (this.reading.has(cell)) return
    this.reading.add(cell)
    const known = this.followed.get(cell)
    // A holder that was replaced counts anew: its versions may be lower than those known.
    const isLater = known?.daemon === daemon && known.version < version
    const request: ReportsRequest = { cell, since: isLater ? known.version : 0 }
    const reply = await this.options.mesh.callPeer<ReportsReply>(daemon, 'reports.read', request)
    this.reading.delete(cell)
    if (!reply.ok) return
    for (const report of reply.value.reports) this.takeReport(report)
    this.confirmCell(cell, { daemon, version: reply.value.version, confirmedAtMs: 0 })
  }

  private takeReport ({ runner, state, isDown }: SharedReport): void {
    const vm = this.options.membership.findVm(runner)
    if (vm === undefined) return
    const now = this.options.clock.readMonotonicMs()
    const report: RunnerReport = { runner, url: vm.url, zone: vm.zone, state, requestedAtMs: 0, receivedAtMs: now, downSinceMs: isDown ? now : undefined }
    this.options.table.putReport(report)
    this.options.onReport(report)
  }

  private confirmCell (cell: string, known: FollowedCell): void {
    this.followed.set(cell, { ...known, confirmedAtMs: this.options.clock.readMonotonicMs() })
    this.options.table.confirmReports(this.listRunners(cell))
  }

  private listRunners (cell: string): string[] {
    return this.options.membership.listVms('engine').filter((vm) => this.options.findCell(vm) === cell).map((vm) => vm.id)
  }
}
