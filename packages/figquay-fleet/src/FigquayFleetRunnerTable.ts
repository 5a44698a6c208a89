/** What is known of each runner: its announcement, what it holds, and the load that daemons put on it. */
import type { Clock } from 'figquay'
import { PeerLoads, RECENT_DECAY_MS, sumLoads, type RunnerLoad } from './FigquayFleetPeerLoads.js'
import type { HeldModel, Holdings, ReportedLoad, Runner } from './FigquayFleetTypes.js'

/** A request of this daemon at a runner. */
export interface OpenRequest {
  readonly requestId: string
  readonly fingerprint: string
  readonly model: string | undefined
  readonly pendingTokens: number
  readonly sentAtMs: number
  hasAnswered: boolean
}

/** A runner as a candidate for requests. */
export interface RunnerView {
  readonly runner: Runner
  readonly load: RunnerLoad
  /** Part of its recent requests that failed, from 0 to 1. */
  readonly failureRate: number
  /** Neither resting after a failure nor silent. */
  readonly isTrusted: boolean
  /** Time for which it has asked this daemon to send nothing, in milliseconds; 0 when it takes requests. */
  readonly refusesForMs: number
}

/** A runner that callers' requests may find changed. */
export interface RunnerTableChange {
  readonly service: string
  /** Undefined when the runner is gone. */
  readonly runner: Runner | undefined
}

interface RunnerState {
  /** Replaced by `replaceRunner` alone, which keeps the indexes. */
  runner: Runner
  /** Position in the registry's log; a later announcement replaces an earlier one. */
  position: number
  /** Last announcement that said something new, and its position: the signs of life since need not be passed on. */
  announced: Runner
  announcedAt: number
  readonly open: Map<string, OpenRequest>
  failureRate: number
  recentTokens: number
  recentAtMs: number
  restUntilMs: number
  lastHeardMs: number
  /** Until then an announcement doesn't replace the holdings, which the holder has read since. */
  holdingsFreshUntilMs: number
  reported: ReportedLoad | undefined
}

/** Weight of the newest result in a runner's failure rate. */
const FAILURE_WEIGHT = 0.15
/** A runner rests this long after a failed connection, in milliseconds: about a runner's shortest restart. */
const REST_MS = 700
/** Longest time without any byte from a runner that has work, in milliseconds, before it counts as silent. */
const SILENCE_MS = 1_500
/** Announcements may be this much older than what the holder has read, in milliseconds: a heartbeat and a read of the list. */
const HEARTBEAT_LAG_MS = 2_200
/** Runners whose leaving or refusal is remembered, gone ones included: more than restart in some weeks. */
const MOST_REMEMBERED = 10_000
/** Fewer recent tokens than this aren't worth telling the peers. */
const LEAST_RECENT_TOKENS = 200

/** Runners by id. */
export class FleetRunnerTable {
  private readonly states = new Map<string, RunnerState>()
  /** The same by service, and by service and model: a request looks only at those that may serve it. */
  private readonly byService = new Map<string, Set<RunnerState>>()
  private readonly byModel = new Map<string, Set<RunnerState>>()
  /** Positions at which runners were removed. */
  private readonly removals = new Map<string, number>()
  /** Removals that are put off: the runner may announce itself again. */
  private readonly lapsing = new Map<string, { readonly position: number, readonly atMs: number }>()
  /** Starts of runners that leave, by id: what has once said that it leaves stays so until it starts anew. */
  private readonly leaving = new Map<string, number>()
  /** What runners have asked of this daemon, by id; it holds while their entries come and go. */
  private readonly refusals = new Map<string, { readonly bornMs: number, readonly untilMs: number }>()
  private readonly peerLoads: PeerLoads
  private readonly listeners = new Set<(change: RunnerTableChange) => void>()
  private watermark = -1
  private newestChange = -1

  private constructor (private readonly clock: Clock) {
    this.peerLoads = PeerLoads.create(clock)
  }

  /**
   * @example
   * const table = FleetRunnerTable.create(clock)
   */
  static create (clock: Clock): FleetRunnerTable {
    return new FleetRunnerTable(clock)
  }

  /** Highest position of the registry's log that this table has taken in. */
  get position (): number {
    return this.watermark
  }

  /** Position of the last change that was more than a sign of life. */
  get changedAt (): number {
    return this.newestChange
  }

  /** Notes how far the registry's log has been read. */
  notePosition (position: number): void {
    this.watermark = Math.max(this.watermark, position)
  }

  /**
   * Calls `listener` after each change of what runners there are, what they hold and whether they leave; returns its undo.
   * Announcements that change none of it, as most do, are passed over.
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
   * Takes in an announcement; one that is older than what is known changes nothing.
   *
   * @example
   * table.putRunner(runner, 812)
   */
  putRunner (runner: Runner, position: number): void {
    this.notePosition(position)
    const known = this.states.get(runner.id)
    if ((known?.position ?? this.removals.get(runner.id) ?? -1) >= position) return
    this.removals.delete(runner.id)
    const isBack = this.lapsing.delete(runner.id)
    if (runner.isLeaving) this.rememberLeaving(runner.id, runner.bornMs)
    // An announcement may be older than what the runner itself, or a peer, has said: only a later start undoes a leaving.
    const isLeaving = this.isKnownLeaving(runner.id, runner.bornMs)
    if (known === undefined || known.runner.bornMs !== runner.bornMs || known.runner.address !== runner.address) {
      if (known !== undefined) this.dropState(known)
      this.noteChange(position)
      this.addState(this.makeState({ ...runner, isLeaving }, position))
    } else {
      known.position = position
      // An entry that is back says nothing new of its runner, but undoes a removal that the peers were told of.
      if (isBack || !isSameAnnouncement(known.announced, runner)) {
        Object.assign(known, { announced: runner, announcedAt: position })
        this.noteChange(position)
      }
      this.replaceRunner(known, { ...runner, isLeaving, holdings: this.chooseHoldings(known, runner.holdings) })
    }
  }

  private noteChange (position: number): void {
    this.newestChange = Math.max(this.newestChange, position)
  }

  private addState (state: RunnerState): void {
    this.states.set(state.runner.id, state)
    this.addToIndexes(state)
    this.notifyListeners({ service: state.runner.service, runner: state.runner })
  }

  private dropState (state: RunnerState): void {
    this.states.delete(state.runner.id)
    this.dropFromIndexes(state)
  }

  private replaceRunner (state: RunnerState, runner: Runner): void {
    const isSame = isSameForRequests(state.runner, runner)
    if (!isSame) this.dropFromIndexes(state)
    state.runner = runner
    if (isSame) return
    this.addToIndexes(state)
    this.notifyListeners({ service: runner.service, runner })
  }

  private addToIndexes (state: RunnerState): void {
    for (const { index, key } of this.listIndexKeys(state.runner)) {
      const states = index.get(key) ?? new Set<RunnerState>()
      index.set(key, states)
      states.add(state)
    }
  }

  private dropFromIndexes (state: RunnerState): void {
    for (const { index, key } of this.listIndexKeys(state.runner)) {
      const states = index.get(key)
      states?.delete(state)
      if (states?.size === 0) index.delete(key)
    }
  }

  private listIndexKeys ({ service, holdings }: Runner): Array<{ readonly index: Map<string, Set<RunnerState>>, readonly key: string }> {
    const models = (holdings?.models ?? []).map(({ name }) => ({ index: this.byModel, key: makeModelKey(service, name) }))
    return [{ index: this.byService, key: service }, ...models]
  }

  private rememberLeaving (id: string, bornMs: number): void {
    keepNewest(this.leaving, id, Math.max(bornMs, this.leaving.get(id) ?? bornMs))
  }

  private isKnownLeaving (id: string, bornMs: number): boolean {
    return bornMs <= (this.leaving.get(id) ?? Number.NEGATIVE_INFINITY)
  }

  private makeState (runner: Runner, position: number): RunnerState {
    return { runner, position, announced: runner, announcedAt: position, open: new Map(), failureRate: 0, recentTokens: 0, recentAtMs: 0, restUntilMs: 0, lastHeardMs: this.clock.readMonotonicMs(), holdingsFreshUntilMs: 0, reported: undefined }
  }

  /** An announcement lags behind what the holder has read from the runner itself. */
  private chooseHoldings (known: RunnerState, announced: Holdings | undefined): Holdings | undefined {
    const current = known.runner.holdings
    if (current === undefined || announced === undefined) return announced ?? current
    return this.clock.readMonotonicMs() < known.holdingsFreshUntilMs ? current : announced
  }

  /**
   * Forgets a runner that the registry no longer lists, at once or unless it announces itself again within `graceMs`.
   *
   * @example
   * table.removeRunner('runner-7', 813)
   */
  removeRunner (id: string, position: number, graceMs = 0): void {
    this.notePosition(position)
    const known = this.states.get(id)
    if (known === undefined || known.position > position) return
    this.noteChange(position)
    if (graceMs > 0) {
      this.lapsing.set(id, { position, atMs: this.clock.readMonotonicMs() + graceMs })
      return
    }
    this.lapsing.delete(id)
    this.removals.set(id, position)
    this.dropState(known)
    this.notifyListeners({ service: known.runner.service, runner: undefined })
  }

  /** Carries out the removals whose grace is over. */
  private dropLapsed (): void {
    const nowMs = this.clock.readMonotonicMs()
    for (const [id, { position, atMs }] of this.lapsing) {
      if (atMs <= nowMs) this.removeRunner(id, position)
    }
  }

  /**
   * Forgets every runner that a complete list doesn't name.
   *
   * @example
   * table.keepOnly(new Set(['runner-1']), 900)
   */
  keepOnly (ids: ReadonlySet<string>, position: number, graceMs = 0): void {
    for (const id of [...this.states.keys()]) {
      if (!ids.has(id)) this.removeRunner(id, position, graceMs)
    }
    this.notePosition(position)
  }

  /**
   * Notes what a runner holds, as read from itself.
   *
   * @example
   * table.putHoldings('runner-1', bornMs, holdings)
   */
  putHoldings (id: string, bornMs: number, holdings: Holdings): void {
    const state = this.states.get(id)
    if (state === undefined || state.runner.bornMs !== bornMs) return
    state.holdingsFreshUntilMs = this.clock.readMonotonicMs() + HEARTBEAT_LAG_MS
    this.replaceRunner(state, { ...state.runner, holdings })
  }

  /** Notes that a runner has refused a model or adapter that it was thought to hold. */
  dropHolding (id: string, model: string, adapter: string | undefined): void {
    const state = this.states.get(id)
    const holdings = state?.runner.holdings
    if (state === undefined || holdings === undefined) return
    const models = adapter === undefined
      ? holdings.models.filter((held) => held.name !== model)
      : holdings.models.map((held) => held.name === model ? { ...held, adapters: held.adapters.filter((name) => name !== adapter) } : held)
    this.replaceRunner(state, { ...state.runner, holdings: { ...holdings, models } })
  }

  /**
   * Notes that a runner leaves, as it or a peer has said; true when that is new here.
   *
   * @param bornMs Start of the runner that leaves; a later start undoes it.
   * @example
   * if (table.markLeaving('runner-7', runner.bornMs)) announceLeaving()
   */
  markLeaving (id: string, bornMs: number): boolean {
    if (this.isKnownLeaving(id, bornMs)) return false
    this.rememberLeaving(id, bornMs)
    const state = this.states.get(id)
    if (state !== undefined && state.runner.bornMs <= bornMs) this.replaceRunner(state, { ...state.runner, isLeaving: true })
    return true
  }

  /**
   * Notes that a runner wants nothing from this daemon for a while.
   *
   * @example
   * table.noteRefusal('runner-7', runner.bornMs, 2_500)
   */
  noteRefusal (id: string, bornMs: number, forMs: number): void {
    const untilMs = this.clock.readMonotonicMs() + forMs
    const known = this.refusals.get(id)
    const isExtended = known !== undefined && known.bornMs === bornMs && known.untilMs >= untilMs
    if (!isExtended) keepNewest(this.refusals, id, { bornMs, untilMs })
  }

  private measureRefusal ({ id, bornMs }: Runner, nowMs: number): number {
    const refusal = this.refusals.get(id)
    return refusal === undefined || refusal.bornMs !== bornMs ? 0 : Math.max(0, refusal.untilMs - nowMs)
  }

  /** A runner by id. */
  findRunner (id: string): Runner | undefined {
    return this.states.get(id)?.runner
  }

  /** Runners that have announced something new after a position, with the positions of their latest announcements. */
  listAnnouncements (after: number): Array<{ readonly runner: Runner, readonly position: number }> {
    return [...this.states.values()].filter((state) => state.announcedAt > after).map(({ runner, position }) => ({ runner, position }))
  }

  /** Runners removed after a position, and those that will be unless they announce themselves again. */
  listRemovals (after: number): Array<{ readonly id: string, readonly position: number, readonly graceMs: number }> {
    this.dropLapsed()
    const nowMs = this.clock.readMonotonicMs()
    const removed = [...this.removals].map(([id, position]) => ({ id, position, graceMs: 0 }))
    const lapsing = [...this.lapsing].map(([id, { position, atMs }]) => ({ id, position, graceMs: atMs - nowMs }))
    return [...removed, ...lapsing].filter(({ position }) => position > after)
  }

  /**
   * Runners of a service that take new requests, with the load on them.
   *
   * @example
   * table.listCandidates('assistant')
   */
  listCandidates (service: string): RunnerView[] {
    return this.listViews(service).filter((view) => !view.runner.isLeaving)
  }

  /** All runners of a service, leaving ones included. */
  listViews (service: string): RunnerView[] {
    this.dropLapsed()
    return this.makeViews(this.byService.get(service))
  }

  /**
   * Runners that hold a model, and the adapter if one is named, and take new requests.
   *
   * @example
   * table.listHolders('assistant', 'manual', 'a3')
   */
  listHolders (service: string, model: string, adapter: string | undefined): RunnerView[] {
    this.dropLapsed()
    const isWanted = ({ runner }: RunnerState): boolean => !runner.isLeaving && (adapter === undefined || hasAdapter(runner.holdings?.models ?? [], model, adapter))
    return this.makeViews([...this.byModel.get(makeModelKey(service, model)) ?? []].filter(isWanted))
  }

  /** Whether a runner that takes new requests holds a model. */
  hasHolder (service: string, model: string): boolean {
    this.dropLapsed()
    return [...this.byModel.get(makeModelKey(service, model)) ?? []].some(({ runner }) => !runner.isLeaving)
  }

  private makeViews (states: Iterable<RunnerState> = []): RunnerView[] {
    const nowMs = this.clock.readMonotonicMs()
    return Array.from(states, (state) => ({
      runner: state.runner,
      load: this.sumLoad(state, nowMs),
      failureRate: state.failureRate,
      isTrusted: nowMs >= state.restUntilMs && !this.isSilent(state, nowMs),
      refusesForMs: this.measureRefusal(state.runner, nowMs)
    }))
  }

  /** A runner is silent when a request has waited long and nothing at all has come from it meanwhile. */
  private isSilent (state: RunnerState, nowMs: number): boolean {
    if (nowMs - state.lastHeardMs < SILENCE_MS) return false
    for (const request of state.open.values()) {
      if (!request.hasAnswered && nowMs - request.sentAtMs > SILENCE_MS) return true
    }
    return false
  }

  private sumLoad (state: RunnerState, nowMs: number): RunnerLoad {
    return sumLoads(measureOwn(state, nowMs), this.peerLoads.sumRunner(state.runner.id))
  }

  /** Notes what a peer, and those it speaks for, have at the runners. */
  putPeerLoads (peer: string, loads: ReadonlyMap<string, RunnerLoad>): void {
    this.peerLoads.putBranch(peer, loads)
  }

  /**
   * This daemon's own load by runner, and that of the peers which are wanted.
   *
   * @example
   * table.exportLoads((peer) => peer.startsWith('client '))
   */
  exportLoads (isWanted?: (peer: string) => boolean): Map<string, RunnerLoad> {
    const loads = new Map<string, RunnerLoad>()
    const nowMs = this.clock.readMonotonicMs()
    for (const [id, state] of this.states) {
      const load = measureOwn(state, nowMs)
      if (load.requests > 0 || load.recentTokens >= LEAST_RECENT_TOKENS) loads.set(id, load)
    }
    if (isWanted !== undefined) this.peerLoads.addTo(loads, isWanted)
    return loads
  }

  /** Notes that a request is on its way to a runner; returns the function that ends it. */
  registerOpen (id: string, request: OpenRequest): () => void {
    const state = this.states.get(id)
    const open = state?.open
    open?.set(request.requestId, request)
    if (state !== undefined) {
      const nowMs = this.clock.readMonotonicMs()
      state.recentTokens = measureRecent(state, nowMs) + request.pendingTokens
      state.recentAtMs = nowMs
    }
    return () => {
      open?.delete(request.requestId)
    }
  }

  /** Requests of this daemon at a runner. */
  listOpen (id: string): OpenRequest[] {
    return [...this.states.get(id)?.open.values() ?? []]
  }

  /** Whether a start of a runner was known to be leaving. */
  hasLeft (id: string, bornMs: number): boolean {
    return this.isKnownLeaving(id, bornMs)
  }

  /** Monotonic time at which the last bytes came from a runner, in milliseconds; undefined when it isn't known. */
  readHeardAt (id: string): number | undefined {
    return this.states.get(id)?.lastHeardMs
  }

  /** Notes that bytes came from a runner. */
  noteHeard (id: string): void {
    const state = this.states.get(id)
    if (state !== undefined) state.lastHeardMs = this.clock.readMonotonicMs()
  }

  /** Notes how an exchange with a runner went. */
  noteResult (id: string, hasFailed: boolean): void {
    const state = this.states.get(id)
    if (state === undefined) return
    state.failureRate += FAILURE_WEIGHT * ((hasFailed ? 1 : 0) - state.failureRate)
  }

  /** Gives a runner a rest after a failed connection. */
  restRunner (id: string): void {
    const state = this.states.get(id)
    if (state !== undefined) state.restUntilMs = this.clock.readMonotonicMs() + REST_MS
  }

  private notifyListeners (change: RunnerTableChange): void {
    for (const listener of [...this.listeners]) listener(change)
  }
}

function makeModelKey (service: string, model: string): string {
  return `${service}\n${model}`
}

/** Whether two announcements of one runner are the same to every request. */
function isSameForRequests (a: Runner, b: Runner): boolean {
  return a.service === b.service && a.zone === b.zone && a.slots === b.slots && a.isLeaving === b.isLeaving && isSameHeld(a.holdings?.models ?? [], b.holdings?.models ?? [])
}

/** Whether an announcement says the same as the one before, but for the time. */
function isSameAnnouncement (a: Runner, b: Runner): boolean {
  return isSameForRequests(a, b) && (a.holdings === undefined) === (b.holdings === undefined) && a.holdings?.isBusy === b.holdings?.isBusy &&
    a.holdings?.inMemory.join() === b.holdings?.inMemory.join() && a.holdings?.onDisk.join() === b.holdings?.onDisk.join() && a.holdings?.coming.join() === b.holdings?.coming.join()
}

function isSameHeld (a: readonly HeldModel[], b: readonly HeldModel[]): boolean {
  return a === b || (a.length === b.length && a.every((held, index) => held.name === b[index]!.name && held.adapters.join() === b[index]!.adapters.join()))
}

/**
 * Whether an adapter is on a runner.
 *
 * @example
 * hasAdapter(holdings.models, 'manual', 'a3')
 */
export function hasAdapter (models: readonly HeldModel[], model: string, adapter: string): boolean {
  return models.some((held) => held.name === model && held.adapters.includes(adapter))
}

/** Puts an entry at the end of a map and drops the oldest beyond the bound. */
function keepNewest<T> (map: Map<string, T>, key: string, value: T): void {
  map.delete(key)
  map.set(key, value)
  if (map.size > MOST_REMEMBERED) map.delete(map.keys().next().value!)
}

function measureRecent (state: RunnerState, nowMs: number): number {
  return state.recentTokens * Math.exp((state.recentAtMs - nowMs) / RECENT_DECAY_MS)
}

function measureOwn (state: RunnerState, nowMs: number): RunnerLoad {
  return { requests: state.open.size, pendingTokens: sumPending(state.open.values()), recentTokens: measureRecent(state, nowMs) }
}

function sumPending (requests: Iterable<OpenRequest>): number {
  let sum = 0
  for (const request of requests) {
    if (!request.hasAnswered) sum += request.pendingTokens
  }
  return sum
}
