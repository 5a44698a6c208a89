/** What is known of each runner: its last report, what this daemon has in flight, what peers say. */
import type { Clock } from 'figquay'
import type { HintTable } from 'figquay-peers'
import type { EngineState } from 'figquay-upstreams'

/** One request on its way through a runner. */
export interface InFlight {
  readonly requestId: string
  readonly fingerprint: string
  readonly promptTokens: number
  /** Engines put batch work behind all other, so nobody waits for it. */
  readonly isBatch: boolean
  /** Predicted time from sending to the first token, in milliseconds. */
  readonly predictedMs: number
  hasFirstToken: boolean
}

/** Last report of a runner. */
export interface RunnerReport {
  readonly runner: string
  readonly url: string
  readonly zone: string
  readonly state: EngineState
  /** When this daemon asked for the report: whatever was answered before is in it. 0 when a peer asked. */
  readonly requestedAtMs: number
  readonly receivedAtMs: number
  /** When the runner was found gone; undefined while it answers. */
  readonly downSinceMs: number | undefined
}

/** What the table needs. */
export interface RunnerTableOptions {
  readonly clock: Clock
  readonly hints: HintTable
  /** Milliseconds since a runner was seen to be leaving; 0 while it is not. */
  readonly readLeavingMs: (runner: string) => number
}

/** Reports older than this make a runner unusable, in milliseconds. */
const REPORT_EXPIRES_MS = 3_000
/** A runner that crashed keeps its place among the candidates for this long, in milliseconds. */
const CRASH_MEMORY_MS = 30_000
/** A leaving runner may serve a model that nobody else holds for this long, in milliseconds. */
const LAST_RESORT_MS = 2_000
/** A runner that refused or reset a connection rests for this long, in milliseconds. */
const REST_MS = 400

/** Runners and the load on them. */
export class RunnerTable {
  private reports: ReadonlyMap<string, RunnerReport> = new Map()
  private readonly inFlight = new Map<string, Map<string, InFlight>>()
  private readonly restUntilMs = new Map<string, number>()
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
   * Notes a report.
   *
   * @example
   * table.putReport({ runner, url, zone, state, requestedAtMs, receivedAtMs, downSinceMs: undefined })
   */
  putReport (report: RunnerReport): void {
    this.reports = new Map(this.reports).set(report.runner, report)
    for (const listener of [...this.listeners]) listener(report)
  }

  /**
   * Calls `listener` after each report; returns the function that ends it.
   *
   * @example
   * const undo = table.registerListener((report) => share(report))
   */
  registerListener (listener: (report: RunnerReport) => void): () => void {
    this.listeners.add(listener)
    return () => {
      this.listeners.delete(listener)
    }
  }

  /**
   * Notes that the last reports of some runners still hold; one that was found gone stays so.
   *
   * @example
   * table.confirmReports(['engine-1', 'engine-2'])
   */
  confirmReports (runners: readonly string[]): void {
    const receivedAtMs = this.options.clock.readMonotonicMs()
    const confirmed = runners.map((runner) => this.reports.get(runner)).filter((report) => report !== undefined && report.downSinceMs === undefined)
    this.reports = new Map([...this.reports, ...confirmed.map((report): [string, RunnerReport] => [report!.runner, { ...report!, receivedAtMs }])])
  }

  /** Notes that a runner is gone; its models stay known for a while. */
  markDown (runner: string): void {
    const report = this.reports.get(runner)
    if (report === undefined || report.downSinceMs !== undefined) return
    this.putReport({ ...report, downSinceMs: this.options.clock.readMonotonicMs() })
  }

  /** Forgets runners that are no longer listed. */
  keepOnly (runners: ReadonlySet<string>): void {
    this.reports = new Map([...this.reports].filter(([runner]) => runners.has(runner)))
  }

  /** Gives a runner a short rest after a failed connection. */
  restRunner (runner: string): void {
    this.restUntilMs.set(runner, this.options.clock.readMonotonicMs() + REST_MS)
  }

  /** Last report of a runner. */
  findReport (runner: string): RunnerReport | undefined {
    return this.reports.get(runner)
  }

  /** All reports. */
  listReports (): RunnerReport[] {
    return [...this.reports.values()]
  }

  /**
   * Runners that hold a model, those that crashed of late included: they keep their place in the ranking,
   * so that a request that crashes upstreams does not move on to a third. When every holder is leaving,
   * those that began to a moment ago still count, while the model is loaded elsewhere.
   *
   * @example
   * table.listHolders('manual-3@v1')
   */
  listHolders (modelId: string): RunnerReport[] {
    const now = this.options.clock.readMonotonicMs()
    const holders = this.listReports().filter((report) => hasReadyModel(report.state, modelId) && (report.downSinceMs === undefined || now - report.downSinceMs < CRASH_MEMORY_MS))
    const staying = holders.filter((report) => this.options.readLeavingMs(report.runner) === 0)
    if (staying.some((report) => this.isUsable(report))) return staying
    return holders.filter((report) => this.options.readLeavingMs(report.runner) < LAST_RESORT_MS)
  }

  /** Whether a runner may get new work now. */
  isUsable (report: RunnerReport): boolean {
    const now = this.options.clock.readMonotonicMs()
    return report.downSinceMs === undefined && now - report.receivedAtMs < REPORT_EXPIRES_MS &&
      now >= (this.restUntilMs.get(report.runner) ?? 0) && this.options.readLeavingMs(report.runner) < LAST_RESORT_MS
  }

  /** Milliseconds until a runner that was given a rest may be tried again; undefined when it is out of use for another reason. */
  measureRestMs (report: RunnerReport): number | undefined {
    const restMs = (this.restUntilMs.get(report.runner) ?? 0) - this.options.clock.readMonotonicMs()
    const isResting = restMs > 0 && report.downSinceMs === undefined
    return isResting ? restMs : undefined
  }

  /** Whether a runner stays: its copies count for placement. */
  isStaying (report: RunnerReport): boolean {
    return this.options.readLeavingMs(report.runner) === 0 && this.isUsable(report)
  }

  /** Notes that a request was sent to a runner; returns the function that ends it. */
  registerInFlight (runner: string, entry: InFlight): () => void {
    const entries = this.inFlight.get(runner) ?? new Map<string, InFlight>()
    this.inFlight.set(runner, entries.set(entry.requestId, entry))
    return () => {
      entries.delete(entry.requestId)
    }
  }

  /** Own copies of a request by the runner that they are at. */
  listInFlightByFingerprint (fingerprint: string): Array<{ readonly runner: string, readonly requestId: string }> {
    return [...this.inFlight].flatMap(([runner, entries]) =>
      [...entries.values()].filter((entry) => entry.fingerprint === fingerprint).map(({ requestId }) => ({ runner, requestId })))
  }

  /** Own requests at a runner. */
  listInFlight (runner: string): InFlight[] {
    return [...(this.inFlight.get(runner)?.values() ?? [])]
  }

  /** Requests at a runner, by own count and by what peers say. */
  countInFlight (report: RunnerReport): number {
    const now = this.options.clock.readMonotonicMs()
    const own = this.inFlight.get(report.runner)?.size ?? 0
    return own + this.options.hints.sumInFlight(report.runner, now)
  }

  /** Prompt tokens that a runner still has to process, batch work aside. */
  sumPendingPromptTokens (report: RunnerReport): number {
    const now = this.options.clock.readMonotonicMs()
    const own = sumPending(this.listInFlight(report.runner))
    // What peers told of has been worked on since, but they have sent more since too: take it as it is.
    return own + this.options.hints.sumPendingPromptTokens(report.runner, now)
  }

  /** Own counts by runner, for the hints to peers. */
  exportInFlight (): { readonly inFlight: Record<string, number>, readonly pendingPromptTokens: Record<string, number> } {
    const inFlight: Record<string, number> = {}
    const pendingPromptTokens: Record<string, number> = {}
    for (const [runner, entries] of this.inFlight) {
      if (entries.size === 0) continue
      inFlight[runner] = entries.size
      const pending = sumPending([...entries.values()])
      if (pending > 0) pendingPromptTokens[runner] = pending
    }
    return { inFlight, pendingPromptTokens }
  }
}

/** Prompt tokens of requests that wait for their first token. */
function sumPending (entries: readonly InFlight[]): number {
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
