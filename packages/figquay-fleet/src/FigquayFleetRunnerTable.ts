/** State of each runner: its announcement, its holdings, and the load that daemons put on it. */
import { setBounded, type Clock } from 'figquay'
import { BEFORE_LOG, readEra, type LogPosition } from './FigquayFleetLogPosition.js'
import { LogProgress } from './FigquayFleetLogProgress.js'
import { PeerLoads, RECENT_TOKENS_DECAY_MS, sumLoads, type RunnerLoad } from './FigquayFleetPeerLoads.js'
import { RemovedRunners } from './FigquayFleetRemovedRunners.js'
import { RunnerSpeeds, type SpeedRow } from './FigquayFleetRunnerSpeeds.js'
import type { LoadedModel, Holdings, ReportedLoad, Runner } from './FigquayFleetTypes.js'

/** A request that this daemon sent to a runner and that is not finished. */
export interface InFlightRequest {
  readonly requestId: string
  readonly fingerprint: string
  readonly model: string | undefined
  readonly pendingTokens: number
  readonly sentAtMs: number
  /** Longest pause between two events for which the response is still on time, in milliseconds; 0 or undefined if none is declared. */
  readonly maxPauseMs?: number | undefined
  /** Output has arrived: its prompt tokens are no longer pending. */
  hasOutput: boolean
}

/** A runner as a candidate for requests. */
export interface RunnerView {
  readonly runner: Runner
  readonly load: RunnerLoad
  /** Fraction of its recent requests that failed, from 0 to 1. */
  readonly failureRate: number
  /** Neither cooling down after a failed connection nor unresponsive. */
  readonly isHealthy: boolean
  /** Remaining time for which it has asked this daemon to send no requests, in milliseconds; 0 when it takes requests. */
  readonly backoffMs: number
  /** It says that it crashes if it has to decline many requests. */
  readonly isBrittle?: boolean
  /** Requests of this daemon that it has now; the load includes them. */
  readonly ownRequests?: number
  /** How long its work takes at the moment, relative to the usual; 1 when nothing is known. */
  readonly slowdown: number
  /** The same apart from spells of slow work; undefined if neither the runner nor a peer has reported a figure. */
  readonly usualSlowdown?: number | undefined
  /** Strictest pause that streams of this daemon there may have between two events, in milliseconds; undefined if none declares one. */
  readonly strictestPauseMs?: number | undefined
}

/** A change of a runner that affects routing. */
export interface RunnerTableChange {
  readonly service: string
  /** Undefined when the runner was removed. */
  readonly runner: Runner | undefined
}

interface RunnerEntry {
  /** Replaced only by `replaceRunner`, which keeps the indexes up to date. */
  runner: Runner
  /** Position in the registry's log; a later announcement replaces an earlier one. */
  position: LogPosition
  /** Last announcement that differed from the one before, and its position: heartbeats since then need not be passed on. */
  distinctAnnouncement: Runner
  distinctPosition: LogPosition
  readonly inFlight: Map<string, InFlightRequest>
  failureRate: number
  recentTokens: number
  recentTokensAtMs: number
  cooldownUntilMs: number
  /** Until then it counts as brittle, unless it says so again. */
  brittleUntilMs: number
  lastActivityMs: number
  /** Until then an announcement doesn't replace the holdings, which the leader read from the runner itself. */
  holdingsFreshUntilMs: number
}

/** Weight of the newest result in a runner's failure rate, an exponential moving average. */
const FAILURE_RATE_WEIGHT = 0.15
/** Cooldown of a runner after a failed connection, in milliseconds: about a runner's shortest restart. */
const COOLDOWN_MS = 700
/** Time for which a runner counts as brittle after it has said so, in milliseconds: all its answers do while it is. */
const BRITTLE_EXPIRY_MS = 3_000
/** Cooldown of a runner at whose address another one has answered, in milliseconds: its entry is outdated, and a restored store may keep it for long. */
const REPLACED_COOLDOWN_MS = 10_000
/** A runner that owes output counts as unresponsive after this time without any byte from it, in milliseconds. */
const SILENCE_TIMEOUT_MS = 1_500
/** Announcements may be this much older than what the leader has read, in milliseconds: a heartbeat and a read of the registry. */
const MAX_ANNOUNCEMENT_LAG_MS = 2_200
/** Runners whose draining or backoff is remembered, removed ones included: more than restart in a few weeks. */
const MAX_REMEMBERED_RUNNERS = 10_000
/** Recent tokens below this are not reported to peers for a runner without requests in flight. */
const MIN_EXPORTED_RECENT_TOKENS = 200

/** All known runners, by id. */
export class FleetRunnerTable {
  private readonly entries = new Map<string, RunnerEntry>()
  /** The same by service, and by service and model, so that a request examines only runners that may serve it. */
  private readonly byService = new Map<string, Set<RunnerEntry>>()
  private readonly byModel = new Map<string, Set<RunnerEntry>>()
  /** Removals within their grace period, in which the runner may announce itself again. */
  private readonly pendingRemovals = new Map<string, { readonly position: LogPosition, readonly dueAtMs: number }>()
  /** Start times of draining runners, by id: once a runner drains, it does so until it restarts. */
  private readonly leavingBornMs = new Map<string, number>()
  /** Backoffs that runners requested from this daemon, by id; they outlast the removal of a runner's entry. */
  private readonly backoffs = new Map<string, { readonly bornMs: number, readonly untilMs: number }>()
  private readonly peerLoads: PeerLoads
  private readonly speeds: RunnerSpeeds
  private readonly listeners = new Set<(change: RunnerTableChange) => void>()
  /** How far the registry's log was read. */
  readonly progress = LogProgress.create()
  private readonly removed = RemovedRunners.create(this.progress)

  private constructor (private readonly clock: Clock) {
    this.peerLoads = PeerLoads.create(clock)
    this.speeds = RunnerSpeeds.create(clock)
  }

  /**
   * @example
   * const table = FleetRunnerTable.create(clock)
   */
  static create (clock: Clock): FleetRunnerTable {
    return new FleetRunnerTable(clock)
  }

  /** Highest position of the registry's log that was applied to this table. */
  get position (): LogPosition {
    return this.progress.position
  }

  /** Position of the last change other than a heartbeat, or up to which there may have been one. */
  get lastChangePosition (): LogPosition {
    return this.progress.lastChangePosition
  }

  /** Position that was reached in the previous era of the registry's log; `BEFORE_LOG` if there was none. */
  get lastEraPosition (): LogPosition {
    return this.progress.lastEraPosition
  }

  /** Advances the position up to which the registry's log was read. */
  advancePosition (position: LogPosition): void {
    this.progress.advance(position)
  }

  /**
   * Calls `listener` when a runner is added or removed, or changes its loaded models, slots, data centre or draining state;
   * returns a function that removes the listener. Most announcements are heartbeats that change none of these.
   *
   * @example
   * const undo = table.registerListener(({ service }) => queue.wake(service))
   */
  registerListener (listener: (change: RunnerTableChange) => void): () => void {
    this.listeners.add(listener)
    return () => {
      this.listeners.delete(listener)
    }
  }

  /**
   * Applies an announcement; one that is older than the known state changes nothing.
   *
   * @example
   * table.putRunner(runner, 812)
   */
  putRunner (runner: Runner, position: LogPosition): void {
    this.advancePosition(position)
    const known = this.entries.get(runner.id)
    const lastPosition = known?.position ?? this.removed.find(runner.id)?.position ?? BEFORE_LOG
    if (lastPosition >= position || this.isRestoredCopy(runner, position)) return
    this.removed.drop(runner.id)
    const isReannounced = this.pendingRemovals.delete(runner.id)
    if (runner.isLeaving) this.recordLeaving(runner.id, runner.bornMs)
    // The runner itself, or a peer, may have reported draining after this announcement: only a later start ends it.
    const isLeaving = this.isKnownLeaving(runner.id, runner.bornMs)
    if (known === undefined || known.runner.bornMs !== runner.bornMs || known.runner.address !== runner.address) {
      if (known !== undefined) this.removeEntry(known)
      this.progress.noteChange(position)
      this.addEntry(this.makeEntry({ ...runner, isLeaving }, position))
    } else {
      known.position = position
      // A renewed entry counts as a change even if it equals the last: it cancels a removal that peers were told of.
      if (isReannounced || !isSameAnnouncement(known.distinctAnnouncement, runner)) {
        Object.assign(known, { distinctAnnouncement: runner, distinctPosition: position })
        this.progress.noteChange(position)
      }
      this.replaceRunner(known, { ...runner, isLeaving, holdings: this.chooseHoldings(known, runner.holdings) })
    }
  }

  /** Whether an announcement that follows a restore of the registry is no newer than what was known before. */
  private isRestoredCopy (runner: Runner, position: LogPosition): boolean {
    const entry = this.entries.get(runner.id)
    const last = entry ?? this.removed.find(runner.id)
    if (last?.runner === undefined || readEra(position) <= readEra(last.position) || runner.bornMs !== last.runner.bornMs) return false
    const count = runner.announcementCount
    const lastCount = last.runner.announcementCount
    if (count === undefined || lastCount === undefined) return false
    // A removal followed the last announcement, so only a later one brings the runner back.
    const isRemoved = entry === undefined || this.pendingRemovals.has(runner.id)
    return isRemoved ? count <= lastCount : count < lastCount
  }

  private addEntry (entry: RunnerEntry): void {
    this.entries.set(entry.runner.id, entry)
    this.addToIndexes(entry)
    this.notifyListeners({ service: entry.runner.service, runner: entry.runner })
  }

  private removeEntry (entry: RunnerEntry): void {
    this.entries.delete(entry.runner.id)
    this.speeds.dropRunner(entry.runner.id)
    this.removeFromIndexes(entry)
  }

  private replaceRunner (entry: RunnerEntry, runner: Runner): void {
    const isSame = isEquivalentForRouting(entry.runner, runner)
    if (!isSame) this.removeFromIndexes(entry)
    entry.runner = runner
    if (isSame) return
    this.addToIndexes(entry)
    this.notifyListeners({ service: runner.service, runner })
  }

  private addToIndexes (entry: RunnerEntry): void {
    for (const { index, key } of this.listIndexKeys(entry.runner)) {
      const entries = index.get(key) ?? new Set<RunnerEntry>()
      index.set(key, entries)
      entries.add(entry)
    }
  }

  private removeFromIndexes (entry: RunnerEntry): void {
    for (const { index, key } of this.listIndexKeys(entry.runner)) {
      const entries = index.get(key)
      entries?.delete(entry)
      if (entries?.size === 0) index.delete(key)
    }
  }

  private listIndexKeys ({ service, holdings }: Runner): Array<{ readonly index: Map<string, Set<RunnerEntry>>, readonly key: string }> {
    const models = (holdings?.models ?? []).map(({ name }) => ({ index: this.byModel, key: makeModelKey(service, name) }))
    return [{ index: this.byService, key: service }, ...models]
  }

  private recordLeaving (id: string, bornMs: number): void {
    setBounded(this.leavingBornMs, id, Math.max(bornMs, this.leavingBornMs.get(id) ?? bornMs), MAX_REMEMBERED_RUNNERS)
  }

  private isKnownLeaving (id: string, bornMs: number): boolean {
    return bornMs <= (this.leavingBornMs.get(id) ?? Number.NEGATIVE_INFINITY)
  }

  private makeEntry (runner: Runner, position: LogPosition): RunnerEntry {
    return { runner, position, distinctAnnouncement: runner, distinctPosition: position, inFlight: new Map(), failureRate: 0, recentTokens: 0, recentTokensAtMs: 0, cooldownUntilMs: 0, brittleUntilMs: 0, lastActivityMs: this.clock.readMonotonicMs(), holdingsFreshUntilMs: 0 }
  }

  /** Prefers holdings that the leader recently read from the runner itself, because announcements lag behind. */
  private chooseHoldings (known: RunnerEntry, announced: Holdings | undefined): Holdings | undefined {
    const current = known.runner.holdings
    if (current === undefined || announced === undefined) return announced ?? current
    return this.clock.readMonotonicMs() < known.holdingsFreshUntilMs ? current : announced
  }

  /**
   * Removes a runner that the registry no longer lists: at once, or after `graceMs` unless it announces itself again.
   *
   * @example
   * table.removeRunner('runner-7', 813)
   */
  removeRunner (id: string, position: LogPosition, graceMs = 0): void {
    this.advancePosition(position)
    const known = this.entries.get(id)
    if (known === undefined) this.removed.addUnknown(id, position)
    if (known === undefined || known.position > position) return
    this.progress.noteChange(position)
    if (graceMs > 0) {
      this.pendingRemovals.set(id, { position, dueAtMs: this.clock.readMonotonicMs() + graceMs })
      return
    }
    this.pendingRemovals.delete(id)
    this.removed.add(id, { position, runner: known.runner })
    this.removeEntry(known)
    this.notifyListeners({ service: known.runner.service, runner: undefined })
  }

  /** Applies the removals whose grace period is over. */
  private applyDueRemovals (): void {
    const nowMs = this.clock.readMonotonicMs()
    for (const [id, { position, dueAtMs }] of this.pendingRemovals) {
      if (dueAtMs <= nowMs) this.removeRunner(id, position)
    }
  }

  /**
   * Removes every runner that a full snapshot of the registry doesn't list.
   *
   * @example
   * table.removeUnlisted(new Set(['runner-1']), 900)
   */
  removeUnlisted (ids: ReadonlySet<string>, position: LogPosition, graceMs = 0): void {
    for (const id of [...this.entries.keys()]) {
      if (!ids.has(id)) this.removeRunner(id, position, graceMs)
    }
    this.advancePosition(position)
  }

  /**
   * Replaces the holdings of a runner by what was read from the runner itself.
   *
   * @example
   * table.putHoldings('runner-1', bornMs, holdings)
   */
  putHoldings (id: string, bornMs: number, holdings: Holdings): void {
    const entry = this.entries.get(id)
    if (entry === undefined || entry.runner.bornMs !== bornMs) return
    entry.holdingsFreshUntilMs = this.clock.readMonotonicMs() + MAX_ANNOUNCEMENT_LAG_MS
    this.replaceRunner(entry, { ...entry.runner, holdings })
  }

  /** Removes a model or adapter from a runner's holdings after the runner answered that it doesn't have it. */
  dropHolding (id: string, model: string, adapter: string | undefined): void {
    const entry = this.entries.get(id)
    const holdings = entry?.runner.holdings
    if (entry === undefined || holdings === undefined) return
    const models = adapter === undefined
      ? holdings.models.filter((loaded) => loaded.name !== model)
      : holdings.models.map((loaded) => loaded.name === model ? { ...loaded, adapters: loaded.adapters.filter((name) => name !== adapter) } : loaded)
    this.replaceRunner(entry, { ...entry.runner, holdings: { ...holdings, models } })
  }

  /**
   * Marks a runner as draining, as reported by itself or a peer; true when that is new here.
   *
   * @param bornMs Start time of the draining runner; a later start is not affected.
   * @example
   * if (table.markLeaving('runner-7', runner.bornMs)) announceLeaving()
   */
  markLeaving (id: string, bornMs: number): boolean {
    if (this.isKnownLeaving(id, bornMs)) return false
    this.recordLeaving(id, bornMs)
    const entry = this.entries.get(id)
    if (entry !== undefined && entry.runner.bornMs <= bornMs) this.replaceRunner(entry, { ...entry.runner, isLeaving: true })
    return true
  }

  /**
   * Records that a runner has asked this daemon to send no requests for a while.
   *
   * @example
   * table.noteBackoff('runner-7', runner.bornMs, 2_500)
   */
  noteBackoff (id: string, bornMs: number, durationMs: number): void {
    const untilMs = this.clock.readMonotonicMs() + durationMs
    const known = this.backoffs.get(id)
    const isCovered = known !== undefined && known.bornMs === bornMs && known.untilMs >= untilMs
    if (!isCovered) setBounded(this.backoffs, id, { bornMs, untilMs }, MAX_REMEMBERED_RUNNERS)
  }

  private measureBackoffMs ({ id, bornMs }: Runner, nowMs: number): number {
    const backoff = this.backoffs.get(id)
    return backoff === undefined || backoff.bornMs !== bornMs ? 0 : Math.max(0, backoff.untilMs - nowMs)
  }

  /** Finds a runner by id; undefined when it isn't known. */
  findRunner (id: string): Runner | undefined {
    return this.entries.get(id)?.runner
  }

  /**
   * Whether a process of a runner is listed and takes new requests.
   *
   * @example
   * if (!table.canTakeRequests(runner.id, runner.bornMs)) return 'withdrawn'
   */
  canTakeRequests (id: string, bornMs: number): boolean {
    this.applyDueRemovals()
    const runner = this.entries.get(id)?.runner
    return runner !== undefined && runner.bornMs === bornMs && !runner.isLeaving
  }

  /** Ids of all known runners, those within a grace period included. */
  listIds (): string[] {
    return [...this.entries.keys()]
  }

  /** Runners whose announcement changed after a position, with the positions of their latest announcements. */
  listAnnouncements (after: LogPosition): Array<{ readonly runner: Runner, readonly position: LogPosition }> {
    return [...this.entries.values()].filter((entry) => entry.distinctPosition > after).map(({ runner, position }) => ({ runner, position }))
  }

  /** Removals after a position, including pending ones with the rest of their grace period. */
  listRemovals (after: LogPosition): Array<{ readonly id: string, readonly position: LogPosition, readonly graceMs: number }> {
    this.applyDueRemovals()
    const nowMs = this.clock.readMonotonicMs()
    const removed = this.removed.list().map((removal) => ({ ...removal, graceMs: 0 }))
    const pending = [...this.pendingRemovals].map(([id, { position, dueAtMs }]) => ({ id, position, graceMs: dueAtMs - nowMs }))
    return [...removed, ...pending].filter(({ position }) => position > after)
  }

  /** Finds a runner by id, with its load; undefined when it isn't known. */
  findView (id: string): RunnerView | undefined {
    const entry = this.entries.get(id)
    return entry === undefined ? undefined : this.makeViews([entry])[0]
  }

  /**
   * Runners of a service that take new requests, with their load.
   *
   * @example
   * table.listCandidates('assistant')
   */
  listCandidates (service: string): RunnerView[] {
    return this.listViews(service).filter((view) => !view.runner.isLeaving)
  }

  /** All runners of a service, including draining ones. */
  listViews (service: string): RunnerView[] {
    this.applyDueRemovals()
    return this.makeViews(this.byService.get(service))
  }

  /**
   * Runners that take new requests and have a model loaded, and the adapter if one is given.
   *
   * @example
   * table.listRunnersWithModel('assistant', 'manual', 'a3')
   */
  listRunnersWithModel (service: string, model: string, adapter: string | undefined): RunnerView[] {
    this.applyDueRemovals()
    const isEligible = ({ runner }: RunnerEntry): boolean => !runner.isLeaving && (adapter === undefined || hasAdapter(runner.holdings?.models ?? [], model, adapter))
    return this.makeViews([...this.byModel.get(makeModelKey(service, model)) ?? []].filter(isEligible))
  }

  /** Whether a runner that takes new requests has a model loaded. */
  hasRunnerWithModel (service: string, model: string): boolean {
    this.applyDueRemovals()
    return [...this.byModel.get(makeModelKey(service, model)) ?? []].some(({ runner }) => !runner.isLeaving)
  }

  private makeViews (entries: Iterable<RunnerEntry> = []): RunnerView[] {
    const nowMs = this.clock.readMonotonicMs()
    return Array.from(entries, (entry) => ({
      runner: entry.runner,
      load: this.sumLoad(entry, nowMs),
      failureRate: entry.failureRate,
      isHealthy: nowMs >= entry.cooldownUntilMs && !this.isUnresponsive(entry, nowMs),
      backoffMs: this.measureBackoffMs(entry.runner, nowMs),
      isBrittle: nowMs < entry.brittleUntilMs,
      ownRequests: entry.inFlight.size,
      ...this.speeds.estimate(entry.runner.id, nowMs),
      strictestPauseMs: findStrictestPause(entry.inFlight.values())
    }))
  }

  /** A runner is unresponsive when a request has waited past the timeout and no bytes came from the runner meanwhile. */
  private isUnresponsive (entry: RunnerEntry, nowMs: number): boolean {
    if (nowMs - entry.lastActivityMs < SILENCE_TIMEOUT_MS) return false
    for (const request of entry.inFlight.values()) {
      if (!request.hasOutput && nowMs - request.sentAtMs > SILENCE_TIMEOUT_MS) return true
    }
    return false
  }

  private sumLoad (entry: RunnerEntry, nowMs: number): RunnerLoad {
    return sumLoads(measureOwnLoad(entry, nowMs), this.peerLoads.sumRunnerLoad(entry.runner.id))
  }

  /** Replaces the loads reported by a branch: a peer, or a peer and the daemons whose loads it aggregates. */
  putPeerLoads (branch: string, loads: ReadonlyMap<string, RunnerLoad>): void {
    this.peerLoads.replaceBranch(branch, loads)
  }

  /**
   * This daemon's own load by runner, plus that of the branches that `isIncluded` selects.
   *
   * @example
   * table.exportLoads((branch) => branch.startsWith('below '))
   */
  exportLoads (isIncluded?: (branch: string) => boolean): Map<string, RunnerLoad> {
    const loads = new Map<string, RunnerLoad>()
    const nowMs = this.clock.readMonotonicMs()
    for (const [id, entry] of this.entries) {
      const load = measureOwnLoad(entry, nowMs)
      if (load.requests > 0 || load.recentTokens >= MIN_EXPORTED_RECENT_TOKENS) loads.set(id, load)
    }
    if (isIncluded !== undefined) this.peerLoads.addLoadsTo(loads, isIncluded)
    return loads
  }

  /** Records what a runner has reported of itself along with a response. */
  noteReportedLoad (id: string, { slowdown }: ReportedLoad): void {
    if (slowdown !== undefined && this.entries.has(id)) this.speeds.noteFigure(id, slowdown)
  }

  /** Applies the speeds of runners that a branch has reported; rows of unknown runners are ignored. */
  putPeerSpeeds (branch: string, rows: unknown): void {
    this.speeds.applyRows(branch, rows, (id) => this.entries.has(id))
  }

  /**
   * Speeds of runners that a peer hasn't been sent yet, as far as `isIncluded` selects the branch that they came from;
   * undefined if there are none.
   *
   * @param isIncluded Its parameter is undefined for what runners have reported to this daemon.
   * @example
   * table.takeSpeeds('daemon-2', (branch) => branch !== 'below daemon-2')
   */
  takeSpeeds (peer: string, isIncluded: (branch: string | undefined) => boolean): readonly SpeedRow[] | undefined {
    const rows = this.speeds.takeRows(peer, isIncluded)
    return rows.length === 0 ? undefined : rows
  }

  /** Tracks a request as in flight at a runner; returns a function that ends the tracking. */
  trackRequest (id: string, request: InFlightRequest): () => void {
    const entry = this.entries.get(id)
    const inFlight = entry?.inFlight
    inFlight?.set(request.requestId, request)
    if (entry !== undefined) {
      const nowMs = this.clock.readMonotonicMs()
      entry.recentTokens = measureRecentTokens(entry, nowMs) + request.pendingTokens
      entry.recentTokensAtMs = nowMs
    }
    return () => {
      inFlight?.delete(request.requestId)
    }
  }

  /** How long a runner's work takes at the moment, relative to the usual; 1 when nothing is known. */
  readSlowdown (id: string): number {
    return this.speeds.estimate(id, this.clock.readMonotonicMs()).slowdown
  }

  /** This daemon's requests in flight at a runner. */
  listInFlight (id: string): InFlightRequest[] {
    return [...this.entries.get(id)?.inFlight.values() ?? []]
  }

  /** Whether the runner process with this start time was reported as draining. */
  isMarkedLeaving (id: string, bornMs: number): boolean {
    return this.isKnownLeaving(id, bornMs)
  }

  /** Monotonic time at which the last bytes came from a runner, in milliseconds; undefined when the runner isn't known. */
  readLastActivityMs (id: string): number | undefined {
    return this.entries.get(id)?.lastActivityMs
  }

  /** Records that bytes came from a runner. */
  noteActivity (id: string): void {
    const entry = this.entries.get(id)
    if (entry !== undefined) entry.lastActivityMs = this.clock.readMonotonicMs()
  }

  /** Updates a runner's failure rate with the result of an exchange. */
  noteResult (id: string, hasFailed: boolean): void {
    const entry = this.entries.get(id)
    if (entry === undefined) return
    entry.failureRate += FAILURE_RATE_WEIGHT * ((hasFailed ? 1 : 0) - entry.failureRate)
  }

  /** Starts a runner's cooldown after a connection failed. */
  startCooldown (id: string): void {
    this.putCooldown(id, COOLDOWN_MS)
  }

  /** Records that a runner said it is brittle. */
  noteBrittle (id: string): void {
    const entry = this.entries.get(id)
    if (entry !== undefined) entry.brittleUntilMs = this.clock.readMonotonicMs() + BRITTLE_EXPIRY_MS
  }

  /** Whether a runner has said lately that it is brittle. */
  isBrittle (id: string): boolean {
    return this.clock.readMonotonicMs() < (this.entries.get(id)?.brittleUntilMs ?? 0)
  }

  /** Puts a runner aside at whose address another one has answered, until it is announced with another start time or address. */
  markReplaced (id: string): void {
    this.putCooldown(id, REPLACED_COOLDOWN_MS)
  }

  private putCooldown (id: string, durationMs: number): void {
    const entry = this.entries.get(id)
    if (entry !== undefined) entry.cooldownUntilMs = Math.max(entry.cooldownUntilMs, this.clock.readMonotonicMs() + durationMs)
  }

  private notifyListeners (change: RunnerTableChange): void {
    for (const listener of [...this.listeners]) listener(change)
  }
}

function makeModelKey (service: string, model: string): string {
  return `${service}\n${model}`
}

/** Whether two announcements of a runner make no difference to routing. */
function isEquivalentForRouting (a: Runner, b: Runner): boolean {
  return a.service === b.service && a.zone === b.zone && a.slots === b.slots && a.isLeaving === b.isLeaving && hasSameModels(a.holdings?.models ?? [], b.holdings?.models ?? [])
}

/** Whether an announcement equals the one before, apart from its time. */
function isSameAnnouncement (a: Runner, b: Runner): boolean {
  return isEquivalentForRouting(a, b) && (a.holdings === undefined) === (b.holdings === undefined) && a.holdings?.isBusy === b.holdings?.isBusy &&
    a.holdings?.inMemory.join() === b.holdings?.inMemory.join() && a.holdings?.onDisk.join() === b.holdings?.onDisk.join() && a.holdings?.coming.join() === b.holdings?.coming.join()
}

function hasSameModels (a: readonly LoadedModel[], b: readonly LoadedModel[]): boolean {
  return a === b || (a.length === b.length && a.every((loaded, index) => loaded.name === b[index]!.name && loaded.adapters.join() === b[index]!.adapters.join()))
}

/**
 * Whether an adapter is loaded on a runner.
 *
 * @example
 * hasAdapter(holdings.models, 'manual', 'a3')
 */
export function hasAdapter (models: readonly LoadedModel[], model: string, adapter: string): boolean {
  return models.some((loaded) => loaded.name === model && loaded.adapters.includes(adapter))
}

function measureRecentTokens (entry: RunnerEntry, nowMs: number): number {
  return entry.recentTokens * Math.exp((entry.recentTokensAtMs - nowMs) / RECENT_TOKENS_DECAY_MS)
}

function measureOwnLoad (entry: RunnerEntry, nowMs: number): RunnerLoad {
  return { requests: entry.inFlight.size, pendingTokens: sumPendingTokens(entry.inFlight.values()), recentTokens: measureRecentTokens(entry, nowMs) }
}

function sumPendingTokens (requests: Iterable<InFlightRequest>): number {
  let sum = 0
  for (const request of requests) {
    if (!request.hasOutput) sum += request.pendingTokens
  }
  return sum
}

function findStrictestPause (requests: Iterable<InFlightRequest>): number | undefined {
  let strictestMs: number | undefined
  for (const { maxPauseMs = 0 } of requests) {
    if (maxPauseMs > 0 && (strictestMs === undefined || maxPauseMs < strictestMs)) strictestMs = maxPauseMs
  }
  return strictestMs
}
