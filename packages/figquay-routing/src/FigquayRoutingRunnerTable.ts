/** State of each runner: its latest report, the requests this daemon has in flight there, and the load hints of peers. */
import type { Clock } from 'figquay'
import type { HintTable } from 'figquay-peers'
import type { EngineState } from 'figquay-upstreams'

/** A request that this daemon has sent to a runner. */
export interface InFlightRequest {
  readonly requestId: string
  readonly fingerprint: string
  readonly promptTokens: number
  /** Whether the request has batch priority. Engines run it after all others, so it does not delay their first tokens. */
  readonly isBatch: boolean
  /** Predicted time from sending to the first token, in milliseconds. */
  readonly predictedMs: number
  hasFirstToken: boolean
}

/** Latest report of a runner. */
export interface RunnerReport {
  readonly runner: string
  readonly url: string
  readonly zone: string
  readonly state: EngineState
  /** When this daemon requested the report, which covers everything that the runner did before; 0 for a peer's report. */
  readonly requestedAtMs: number
  readonly receivedAtMs: number
  /** When the runner was marked down; undefined while it is up. */
  readonly downSinceMs: number | undefined
}

/** Dependencies of the runner table. */
export interface RunnerTableOptions {
  readonly clock: Clock
  readonly hints: HintTable
  /** Milliseconds since a runner was first seen as leaving; 0 when it is not leaving. */
  readonly readLeavingMs: (runner: string) => number
}

/** A runner whose latest report is older than this is unusable. */
const REPORT_TTL_MS = 3_000
/** A crashed runner keeps its position in the candidate ranking for this long. */
const CRASHED_RUNNER_RETENTION_MS = 30_000
/** A leaving runner may serve a model that has no other usable holder for this long. */
const LEAVING_GRACE_MS = 2_000
/** A runner gets no new requests for this long after a failed exchange. */
const COOLDOWN_MS = 400

/** Runners and their load. */
export class RunnerTable {
  private reports: ReadonlyMap<string, RunnerReport> = new Map()
  private readonly inFlight = new Map<string, Map<string, InFlightRequest>>()
  private readonly cooldownUntilMs = new Map<string, number>()
  private readonly listeners = new Set<(report: RunnerReport) => void>()

  private constructor (private readonly options: RunnerTableOptions) {}

  /**
   * @example
   * const table = RunnerTable.create({ clock, hints, readLeavingMs })
   */
  static create (options: RunnerTableOptions): RunnerTable {
    return new RunnerTable(options)
  }

  /**
   * Stores a report and notifies the listeners.
   *
   * @example
   * table.putReport({ runner, url, zone, state, requestedAtMs, receivedAtMs, downSinceMs: undefined })
   */
  putReport (report: RunnerReport): void {
    this.reports = new Map(this.reports).set(report.runner, report)
    for (const listener of [...this.listeners]) listener(report)
  }

  /**
   * Calls `listener` after each report; returns a function that unregisters it.
   *
   * @example
   * const unregister = table.registerListener((report) => share(report))
   */
  registerListener (listener: (report: RunnerReport) => void): () => void {
    this.listeners.add(listener)
    return () => {
      this.listeners.delete(listener)
    }
  }

  /**
   * Renews the reports of runners whose state has not changed. Runners that are down stay down.
   *
   * @example
   * table.confirmReports(['engine-1', 'engine-2'])
   */
  confirmReports (runners: readonly string[]): void {
    const receivedAtMs = this.options.clock.readMonotonicMs()
    const confirmed = runners.map((runner) => this.reports.get(runner)).filter((report) => report !== undefined && report.downSinceMs === undefined)
    this.reports = new Map([...this.reports, ...confirmed.map((report): [string, RunnerReport] => [report!.runner, { ...report!, receivedAtMs }])])
  }

  /** Marks a runner as down. Its report is kept, so that it keeps its position in the candidate ranking for a while. */
  markDown (runner: string): void {
    const report = this.reports.get(runner)
    if (report === undefined || report.downSinceMs !== undefined) return
    this.putReport({ ...report, downSinceMs: this.options.clock.readMonotonicMs() })
  }

  /** Removes the reports of all other runners. */
  retainRunners (runners: ReadonlySet<string>): void {
    this.reports = new Map([...this.reports].filter(([runner]) => runners.has(runner)))
  }

  /** Excludes a runner from new requests for a short time after a failed exchange. */
  startCooldown (runner: string): void {
    this.cooldownUntilMs.set(runner, this.options.clock.readMonotonicMs() + COOLDOWN_MS)
  }

  /** Latest report of a runner. */
  findReport (runner: string): RunnerReport | undefined {
    return this.reports.get(runner)
  }

  /** Latest reports of all runners. */
  listReports (): RunnerReport[] {
    return [...this.reports.values()]
  }

  /**
   * Runners on which a model is ready. Recently crashed runners are included, so that they keep their position in
   * the ranking and a request that crashes upstreams does not move on to a third. Leaving runners are included only
   * if no other holder is usable, and only for a short time while the model is loaded elsewhere.
   *
   * @example
   * table.listHolders('manual-3@v1')
   */
  listHolders (modelId: string): RunnerReport[] {
    const nowMs = this.options.clock.readMonotonicMs()
    const holders = this.listReports().filter((report) => hasReadyModel(report.state, modelId) && (report.downSinceMs === undefined || nowMs - report.downSinceMs < CRASHED_RUNNER_RETENTION_MS))
    const staying = holders.filter((report) => this.options.readLeavingMs(report.runner) === 0)
    if (staying.some((report) => this.isUsable(report))) return staying
    return holders.filter((report) => this.options.readLeavingMs(report.runner) < LEAVING_GRACE_MS)
  }

  /** Whether a runner may get new requests now. */
  isUsable (report: RunnerReport): boolean {
    const nowMs = this.options.clock.readMonotonicMs()
    return report.downSinceMs === undefined && nowMs - report.receivedAtMs < REPORT_TTL_MS &&
      nowMs >= (this.cooldownUntilMs.get(report.runner) ?? 0) && this.options.readLeavingMs(report.runner) < LEAVING_GRACE_MS
  }

  /** Remaining cooldown of a runner in milliseconds; undefined when it is not cooling down or is down. */
  readCooldownMs (report: RunnerReport): number | undefined {
    const cooldownMs = (this.cooldownUntilMs.get(report.runner) ?? 0) - this.options.clock.readMonotonicMs()
    const isCoolingDown = cooldownMs > 0 && report.downSinceMs === undefined
    return isCoolingDown ? cooldownMs : undefined
  }

  /** Whether a runner is usable and not leaving; only the copies on such runners count for placement. */
  isUsableAndNotLeaving (report: RunnerReport): boolean {
    return this.options.readLeavingMs(report.runner) === 0 && this.isUsable(report)
  }

  /** Records that a request was sent to a runner; returns a function that removes it. */
  registerInFlight (runner: string, entry: InFlightRequest): () => void {
    const entries = this.inFlight.get(runner) ?? new Map<string, InFlightRequest>()
    this.inFlight.set(runner, entries.set(entry.requestId, entry))
    return () => {
      entries.delete(entry.requestId)
    }
  }

  /** Requests of this daemon in flight with a given fingerprint, and the runners they were sent to. */
  listInFlightByFingerprint (fingerprint: string): Array<{ readonly runner: string, readonly requestId: string }> {
    return [...this.inFlight].flatMap(([runner, entries]) =>
      [...entries.values()].filter((entry) => entry.fingerprint === fingerprint).map(({ requestId }) => ({ runner, requestId })))
  }

  /** Requests that this daemon has in flight at a runner. */
  listInFlight (runner: string): InFlightRequest[] {
    return [...(this.inFlight.get(runner)?.values() ?? [])]
  }

  /** Requests in flight at a runner: those of this daemon and those in the hints of peers. */
  countInFlight (report: RunnerReport): number {
    const nowMs = this.options.clock.readMonotonicMs()
    const localCount = this.inFlight.get(report.runner)?.size ?? 0
    return localCount + this.options.hints.sumInFlight(report.runner, nowMs)
  }

  /** Prompt tokens that a runner still has to process, without batch requests. */
  sumPendingPromptTokens (report: RunnerReport): number {
    const nowMs = this.options.clock.readMonotonicMs()
    const localTokens = sumPendingTokens(this.listInFlight(report.runner))
    // Hints are not corrected for their age: the runner has processed some of these tokens, but peers have sent more.
    return localTokens + this.options.hints.sumPendingPromptTokens(report.runner, nowMs)
  }

  /** Load of this daemon's own requests by runner, sent to peers as a hint. */
  exportInFlight (): { readonly inFlight: Record<string, number>, readonly pendingPromptTokens: Record<string, number> } {
    const inFlight: Record<string, number> = {}
    const pendingPromptTokens: Record<string, number> = {}
    for (const [runner, entries] of this.inFlight) {
      if (entries.size === 0) continue
      inFlight[runner] = entries.size
      const pending = sumPendingTokens([...entries.values()])
      if (pending > 0) pendingPromptTokens[runner] = pending
    }
    return { inFlight, pendingPromptTokens }
  }
}

/** Prompt tokens of the requests that have no first token yet, without batch requests. */
function sumPendingTokens (entries: readonly InFlightRequest[]): number {
  return entries.filter((entry) => !entry.hasFirstToken && !entry.isBatch).reduce((sum, entry) => sum + entry.promptTokens, 0)
}

/**
 * Tells whether a model is ready on a runner.
 *
 * @example
 * hasReadyModel(state, 'manual-3@v1')
 */
export function hasReadyModel (state: EngineState, modelId: string): boolean {
  return state.models.some((model) => model.id === modelId && model.phase === 'ready')
}
