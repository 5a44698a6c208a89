/** Keeps a daemon's copy of the platform's store up to date, from peers while the store is unreachable. */
import { describeError, type CallFailure, type Clock, type Logger, type Outcome, type TaskGroup } from 'figquay'
import { BEFORE_LOG, decodePosition, encodePosition, isFact, readEra, type ConfigurationHolder, type FleetConfiguration, type FleetFacts, type FleetLeadership, type FleetRunnerTable, type FleetStore, type Runner, type RunnerRegistryUpdate } from 'figquay-fleet'

import { makeDaemonRecords, type DaemonRecords } from './FigquayServingDaemonRecords.js'
import type { FactStoreSync } from './FigquayServingFactStoreSync.js'
import { makeReadName, NewestStoreRead } from './FigquayServingNewestStoreRead.js'
import { applyRunnerReading } from './FigquayServingRunnerReading.js'
import { SharedRecords } from './FigquayServingSharedRecords.js'
import { applyRunnerSnapshot, makeRunnerSnapshot, type FleetSnapshot, type PeerProgress, type SnapshotRequest } from './FigquayServingSnapshot.js'
import { StoreRead } from './FigquayServingStoreRead.js'
import { EXPIRY_GRACE_MS, type StoreOutages } from './FigquayServingStoreOutages.js'
import type { StoreRole } from './FigquayServingStoreRole.js'
import { ROLE_CHECK_MS, type StoreTiming } from './FigquayServingStoreTiming.js'
import { RETRY_DELAY_MS, TopicReads } from './FigquayServingTopicReads.js'
import type { ProcessorCores } from './FigquayServingTopology.js'
import { STORE_TOPICS, type StoreTopic } from './FigquayServingTypes.js'

/** Options of the store watcher. */
export interface StoreWatcherOptions {
  /** Identifies this process among those that have run at the address. */
  readonly bootId: string
  /** Whether this daemon is a seed, which other daemons contact when they start. */
  readonly isSeed: boolean
  readonly clock: Clock
  readonly logger: Logger
  readonly store: FleetStore
  readonly configurations: ConfigurationHolder
  readonly table: FleetRunnerTable
  readonly leadership: FleetLeadership
  readonly facts: FleetFacts
  readonly factStore: Pick<FactStoreSync, 'applyRecord' | 'replaceRecords'>
  readonly daemonRecords: DaemonRecords
  /** Called with the data centre and the processor cores of each daemon, by address, after a change. */
  readonly setDaemons: (daemons: ReadonlyMap<string, string>, cores: ProcessorCores) => void
  /** Reads of the store that are known of, whichever daemon made them. */
  readonly outages: StoreOutages
  readonly findStoreRole: () => StoreRole
  /** Returns the earliest monotonic time, in milliseconds, at which what is read from sockets now may have arrived. */
  readonly estimateArrivalMs: () => number
  /** Computes the time limits of this daemon's reads, which depend on the size of the fleet. */
  readonly computeTiming: () => StoreTiming
  /** Tells the peers at once that a runner is leaving, before they compare their progress. */
  readonly announceLeaving: (runner: string, bornMs: number) => void
  /** Requests what is newer than this daemon's copy from a peer, or from any if none is given; undefined without a response. */
  readonly requestSnapshot: (request: SnapshotRequest, peer: string | undefined) => Promise<FleetSnapshot | undefined>
  /** Activates a configuration that was read from the store. */
  readonly adoptConfiguration: (configuration: FleetConfiguration) => void
  /** Counts a read of a topic of the store by its outcome. */
  readonly noteStoreRead: (topic: StoreTopic, outcome: 'ok' | 'failed') => void
}

/**
 * Wait of a read for records that rarely change, in milliseconds, at daemons that would hear of a change from the reader
 * if the connection that they wait on were dead.
 */
const LONG_POLL_MS = 20_000
/**
 * Shortest interval between two reads of the list of runners, in milliseconds, so that changes are read in batches: well
 * within the time in which requests to a leaving runner must stop.
 */
const RUNNERS_INTERVAL_MS = 400
/** Shortest wait of a read of the list of runners, in milliseconds. */
const MIN_RUNNERS_WAIT_MS = 50
/** A reader that lags behind a peer for this long requests its snapshot, in milliseconds: longer than its own reads take. */
const LAG_TOLERANCE_MS = 1_200
/** Interval at which a looker polls the list of runners although it hears from the reader, in milliseconds. */
const LOOKER_POLL_INTERVAL_MS = 15_000
/** Shortest interval between two reads of a topic, in milliseconds, whatever the store answers: a small part of the time in which a change must apply. */
const MIN_READ_INTERVAL_MS = 100
/** Delay between two reads of the shared records, in milliseconds, so that changes are read in batches. */
const SHARED_RECORDS_INTERVAL_MS = 300
/** A starting daemon tries to get a snapshot from its peers for this long before it reads the store, in milliseconds. */
const BOOTSTRAP_TIMEOUT_MS = 1_500
/** Delay between two such requests, in milliseconds: connecting to a peer takes as long. */
const BOOTSTRAP_RETRY_MS = 100
/** A read that exceeds its long-poll timeout by this much has met an outage of the store, in milliseconds. */
const OUTAGE_OVERRUN_MS = 500

/** Watches the store, or syncs from peers that do. */
export class StoreWatcher {
  private readonly topicReads = TopicReads.create()
  /** Role at the last check. */
  private role: StoreRole | undefined
  /** Whether this daemon lacked shared records at the last check, so that its read of them may be waiting in vain. */
  private hasLackedRecords = false
  private configurationPosition = BEFORE_LOG
  private readonly sharedRecords: SharedRecords
  /** Newest era of the store that this daemon or a peer has read; undefined until one has. */
  private newestEra: number | undefined
  private hasReadShared = false
  private hasReadRunners = false
  private hasFacts = false
  private isReachable = true
  private longPollAbort = new AbortController()
  /** Ends the delays of all topics before their retries, once a read succeeds again. */
  private retryAbort = new AbortController()
  /** Whether this daemon is about to read in place of others and tries the store with one topic first. */
  private isProbing = false
  private laggingSinceMs: number | undefined
  private peerAhead: string | undefined
  private isFetching = false
  /** Newest change of the list of runners that a peer has announced. */
  private announcedChange = BEFORE_LOG
  /** Newest read of the list of runners, by this daemon or by the source of a snapshot. */
  private readonly newestRead: NewestStoreRead
  private readCount = 0
  /** Topics that are read once more although this daemon may have become a listener again, as it has been without news for too long. */
  private readonly takeoverTopics = new Set<StoreTopic>()
  private storeRecoveredAtMs = Number.NEGATIVE_INFINITY

  private constructor (private readonly options: StoreWatcherOptions) {
    this.newestRead = NewestStoreRead.create(options.clock)
    this.sharedRecords = SharedRecords.create(options)
  }

  /**
   * @example
   * const watcher = StoreWatcher.create(options)
   */
  static create (options: StoreWatcherOptions): StoreWatcher {
    return new StoreWatcher(options)
  }

  /** Whether the list of runners, the facts and a configuration have been loaded. */
  get isSynced (): boolean {
    return this.hasReadRunners && this.hasFacts && this.options.configurations.current !== undefined
  }

  /** Whether the last read of the list of runners succeeded. */
  get isStoreReachable (): boolean {
    return this.isReachable
  }

  /** Whether this daemon follows the shared records and so knows their end, on which conditional writes depend. */
  get canWrite (): boolean {
    return this.hasReadShared && this.isSynced && !this.isListener && !this.isSharedOutdated
  }

  /** Whether the shared records were last read before the store was restored. */
  get isSharedOutdated (): boolean {
    return readEra(this.sharedRecords.position) < (this.newestEra ?? 0)
  }

  /**
   * Newest read of the list of runners, by this daemon or by the source of a snapshot. While reads of another topic fail,
   * no new ones are noted, as a daemon that is told of them would take the other topic for current, too.
   */
  get ownRead (): NewestStoreRead {
    return this.newestRead
  }

  /**
   * Starts the tasks that follow the store. A daemon that isn't a seed tries to get a snapshot from its peers first.
   *
   * @example
   * watcher.startTasks(tasks)
   */
  startTasks (tasks: TaskGroup): void {
    tasks.startTask('start', async (signal) => {
      if (!this.options.isSeed) await this.bootstrapFromPeers(signal)
      tasks.startTask('shared records', (inner) => this.runLongPolls(inner, 'shared', (waitMs, pending) => this.readSharedRecords(waitMs, pending, inner)))
      tasks.startTask('configuration', (inner) => this.runLongPolls(inner, 'configuration', (waitMs, pending) => this.readConfiguration(waitMs, pending)))
      tasks.startLoop('store role', ROLE_CHECK_MS, async () => this.refreshReads())
      tasks.startTask('runners', (inner) => this.watchRunners(inner))
    })
  }

  /** Gets a snapshot from the peers, so that starting daemons don't all read the store. */
  private async bootstrapFromPeers (signal: AbortSignal): Promise<void> {
    const { clock } = this.options
    const startedAtMs = clock.readMonotonicMs()
    while (!signal.aborted && clock.readMonotonicMs() - startedAtMs < BOOTSTRAP_TIMEOUT_MS) {
      // The store role is known only once the daemon is connected to peers.
      if (this.isListener) return
      if (!this.hasReadRunners || !this.hasFacts) await this.fetchFromPeer()
      await clock.waitFor(BOOTSTRAP_RETRY_MS, signal)
    }
  }

  /** Registers this daemon in the store for the others to discover, with the processor cores of its VM if they are known. */
  async announceSelf (address: string, zone: string, cores: number | undefined, signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const written = await this.options.store.writeRecords(makeDaemonRecords(address, zone, cores))
      if (written.ok) return
      await this.options.clock.waitFor(RETRY_DELAY_MS, signal)
    }
  }

  /** Number of registered daemons that this one knows. */
  get daemonCount (): number {
    return this.options.daemonRecords.daemons.size
  }

  /** Makes a snapshot of what is newer than the requester's copy, with the facts if they are needed. */
  makeSnapshot ({ needsFacts, daemonsDigest, ...requested }: SnapshotRequest): FleetSnapshot {
    const { table, daemonRecords, facts, clock } = this.options
    const runners = makeRunnerSnapshot(table, requested)
    return {
      ...runners ?? { runners: [], removals: [], ...requested },
      ...daemonRecords.makeList(daemonsDigest),
      facts: needsFacts && this.hasFacts ? facts.listAfter(0) : undefined,
      // A copy to which nothing was added isn't as current as this daemon's.
      ...runners === undefined ? NewestStoreRead.create(clock).report : this.newestRead.report
    }
  }

  /** Checks whether this daemon has to read the store, and whether reads wait in vain. */
  private refreshReads (): void {
    this.updateRole()
    const { lacksRecords } = this.options.leadership
    if (lacksRecords && this.hasLackedRecords) this.restartReads()
    this.hasLackedRecords = lacksRecords
  }

  /** Reads of this daemon begin anew without a wait, on new connections. */
  private restartReads (): void {
    this.options.store.renewConnections()
    this.abortLongPolls()
  }

  /** Wait of a read, in milliseconds: the reader answers for all that a change which its connection keeps from it is noticed in time. */
  private chooseWait (topic: 'configuration' | 'shared'): number {
    if (this.updateRole() !== 'reader') return LONG_POLL_MS
    const { configurationWaitMs, sharedWaitMs } = this.options.computeTiming()
    return topic === 'configuration' ? configurationWaitMs : sharedWaitMs
  }

  /** Waits until this daemon has to read again or stops, or for as long as a role is checked. */
  private async waitForRestart (): Promise<void> {
    await this.options.clock.waitFor(ROLE_CHECK_MS, this.longPollAbort.signal)
  }

  /** Repeats a long poll; `abortLongPolls` has it begin anew while it waits. */
  private async runLongPolls (signal: AbortSignal, topic: 'configuration' | 'shared', read: (waitMs: number, pending: StoreRead) => Promise<boolean>): Promise<void> {
    const { clock } = this.options
    signal.addEventListener('abort', () => this.abortLongPolls(), { once: true })
    signal.addEventListener('abort', () => this.abortRetryDelays(), { once: true })
    // The first read after a failure doesn't wait, as its answer tells whether the store was restored meanwhile.
    let waitMs = 0
    while (!signal.aborted) {
      if (this.isProbing || (this.isListener && !this.takeoverTopics.has(topic))) {
        await this.waitForRestart()
        waitMs = 0
        continue
      }
      const startedAtMs = clock.readMonotonicMs()
      if (this.takeoverTopics.delete(topic)) waitMs = 0
      const pending = this.createRead(topic, waitMs, signal)
      const succeeded = await this.runRead(topic, waitMs, pending, () => read(waitMs, pending))
      const wasRestarted = waitMs > 0 && pending.wasAborted
      waitMs = succeeded && !wasRestarted ? this.chooseWait(topic) : 0
      if (succeeded || wasRestarted) await clock.waitFor(Math.max(0, startedAtMs + MIN_READ_INTERVAL_MS - clock.readMonotonicMs()), signal)
      else await this.waitForRetry(topic)
    }
  }

  /** A read that waits at the store begins anew with the others until the store responds; then it counts as one that doesn't wait. */
  private createRead (topic: StoreTopic, waitMs: number, task: AbortSignal): StoreRead {
    const restart = waitMs > 0 && topic !== 'runners' ? this.longPollAbort.signal : undefined
    return StoreRead.create({ task, restart, estimateArrivalMs: this.options.estimateArrivalMs, recordResponse: () => this.topicReads.noteImmediate(topic) })
  }

  /** Runs a read, which counts as one that doesn't wait from its start or from the start of its response. */
  private async runRead <T> (topic: StoreTopic, waitMs: number, pending: StoreRead, read: () => Promise<T>): Promise<T> {
    if (waitMs === 0) this.topicReads.noteImmediate(topic)
    try {
      return await read()
    } finally {
      this.topicReads.noteEnd(topic)
      pending.dispose()
    }
  }

  /** Waits until a failed read is to be repeated, or reads succeed again. */
  private async waitForRetry (topic: StoreTopic): Promise<void> {
    await this.options.clock.waitFor(this.topicReads.chooseRetryDelay(topic), this.retryAbort.signal)
  }

  private get isListener (): boolean {
    return this.updateRole() === 'listener' && this.isSynced
  }

  /**
   * Returns the role now. A daemon that becomes the reader tries the store with a read of the list of runners, on a new
   * connection. Once that has succeeded, it reads every topic, also if another one's reads are heard of by then.
   */
  private updateRole (): StoreRole {
    const role = this.options.findStoreRole()
    if (role === this.role) return role
    this.options.logger.info('store role changed', { role, previous: this.role, ...this.describeTopics() })
    const isTakeover = role === 'reader' && this.role !== undefined
    this.role = role
    if (isTakeover) {
      this.isProbing = true
      this.takeoverTopics.add('runners')
      this.options.store.renewConnections()
      this.abortLongPolls()
      this.abortRetryDelays()
    } else if (!this.takeoverTopics.has('runners') && !this.topicReads.isImmediate('runners')) this.isProbing = false
    return role
  }

  /** Ends the trial of the store, after which the other topics are read, too. */
  private finishProbe (): void {
    if (!this.isProbing) return
    this.isProbing = false
    for (const topic of STORE_TOPICS) if (topic !== 'runners' && !this.topicReads.isImmediate(topic)) this.takeoverTopics.add(topic)
    this.abortLongPolls()
  }

  /** An answer that makes no sense says nothing of the other topics; a trial that has failed ends with the daemon's turn. */
  private noteFailedProbe ({ reason }: CallFailure): void {
    if (reason === 'malformed') this.finishProbe()
    else if (this.updateRole() !== 'reader') this.isProbing = false
  }

  /** Whether a peer has announced a change of the list of runners that this daemon doesn't have. */
  get lacksChanges (): boolean {
    return this.announcedChange > this.options.table.position
  }

  /** Time since this daemon last read a topic itself, in milliseconds; infinite if it never has. */
  measureTopicAge (topic: StoreTopic): number {
    return this.topicReads.measureAge(topic, this.options.clock.readMonotonicMs())
  }

  /** Age of each topic by this daemon's own reads, for logs. */
  private describeTopics (): Record<string, number | undefined> {
    const describeAge = (topic: StoreTopic): number | undefined => Number.isFinite(this.measureTopicAge(topic)) ? Math.round(this.measureTopicAge(topic)) : undefined
    return { storeAgeMs: Number.isFinite(this.newestRead.ageMs) ? Math.round(this.newestRead.ageMs) : undefined, configurationAgeMs: describeAge('configuration'), sharedAgeMs: describeAge('shared'), runnersAgeMs: describeAge('runners') }
  }

  private async readConfiguration (waitMs: number, pending: StoreRead): Promise<boolean> {
    const { store, clock, adoptConfiguration } = this.options
    const startedAtMs = clock.readMonotonicMs()
    const reading = await store.readConfiguration(this.configurationPosition, waitMs, pending.signal, pending.noteResponse)
    if (!this.noteRead('configuration', reading, startedAtMs, pending)) return false
    this.configurationPosition = reading.value.position
    this.noteEra(readEra(reading.value.position), 'store')
    if (reading.value.configuration !== undefined) adoptConfiguration(reading.value.configuration)
    this.noteOwnRead()
    return true
  }

  /** Reads the newest configuration from the store without waiting for a newer one; undefined if it can't be read. */
  async readNewestConfiguration (signal: AbortSignal): Promise<FleetConfiguration | undefined> {
    const startedAtMs = this.options.clock.readMonotonicMs()
    const reading = await this.options.store.readConfiguration(BEFORE_LOG, 0, signal)
    if (!this.noteRead('configuration', reading, startedAtMs, undefined)) return undefined
    return reading.value.configuration
  }

  private async readSharedRecords (waitMs: number, pending: StoreRead, task: AbortSignal): Promise<boolean> {
    const { store, clock, leadership } = this.options
    const startedAtMs = clock.readMonotonicMs()
    const reading = await store.readShared(this.sharedRecords.position, waitMs, pending.signal, pending.noteResponse)
    if (!this.noteRead('shared', reading, startedAtMs, pending)) return false
    this.noteEra(readEra(reading.value.end), 'store')
    this.sharedRecords.applyBatch(reading.value)
    this.hasReadShared = true
    this.hasFacts = true
    leadership.updateRecordsEnd(reading.value.end)
    this.noteOwnRead()
    await clock.waitFor(SHARED_RECORDS_INTERVAL_MS, task)
    return true
  }

  private async watchRunners (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const isTakeover = this.takeoverTopics.delete('runners')
      if (this.isListener && !isTakeover) {
        await this.waitForRestart()
        continue
      }
      const startedAtMs = this.options.clock.readMonotonicMs()
      const isReader = this.updateRole() === 'reader' || !this.hasReadRunners
      const longPollMs = isReader && !isTakeover && !this.topicReads.isFailing('runners') ? this.chooseRunnersWait() : 0
      const pending = this.createRead('runners', longPollMs, signal)
      const reading = await this.runRead('runners', longPollMs, pending, () => this.options.store.readRunners(this.options.table.position, longPollMs, pending.signal, pending.noteResponse))
      if (this.noteRead('runners', reading, startedAtMs, pending)) {
        const nowMs = this.options.clock.readMonotonicMs()
        this.options.outages.noteRead({ storeAgeMs: this.measureTopicAge('runners') })
        this.noteRecovery(nowMs, nowMs - startedAtMs > longPollMs + OUTAGE_OVERRUN_MS)
        this.noteEra(readEra(reading.value.position), 'store')
        this.applyRunnerChanges(reading.value)
        this.finishProbe()
        this.noteOwnRead()
        this.updateReachability(true)
      } else if (!signal.aborted) {
        this.noteFailedProbe(reading.error)
        this.updateReachability(false)
        await this.fetchFromPeer()
      }
      const elapsedMs = this.options.clock.readMonotonicMs() - startedAtMs
      if (!reading.ok) await this.waitForRetry('runners')
      else if (isReader) await this.options.clock.waitFor(Math.max(0, RUNNERS_INTERVAL_MS - elapsedMs), signal)
      else await this.waitForNextPoll(startedAtMs, signal)
    }
  }

  private noteRecovery (nowMs: number, hasOverrun: boolean): void {
    if (hasOverrun || !this.isReachable) this.storeRecoveredAtMs = hasOverrun ? nowMs : Math.max(this.storeRecoveredAtMs, this.topicReads.estimateRecovery('runners', nowMs, this.newestRead.ageMs))
  }

  /** Wait of a read of the list of runners, in milliseconds: the time since the read before counts. */
  private chooseRunnersWait (): number {
    return Math.max(MIN_RUNNERS_WAIT_MS, this.options.computeTiming().runnersIntervalMs - this.measureTopicAge('runners'))
  }

  /** Waits until the next poll of a looker is due. */
  private async waitForNextPoll (lastPollAtMs: number, signal: AbortSignal): Promise<void> {
    const { clock } = this.options
    while (!signal.aborted && this.updateRole() === 'looker' && clock.readMonotonicMs() - lastPollAtMs < LOOKER_POLL_INTERVAL_MS) await this.waitForRestart()
  }

  /** Reads are told to peers only while those of all topics succeed, and none is missing or being received. */
  private noteOwnRead (): void {
    if (this.isProbing || this.takeoverTopics.size > 0 || this.topicReads.isIncomplete) return
    this.readCount += 1
    this.newestRead.noteReport({ storeAgeMs: this.measureReadAge(), storeRead: makeReadName(this.options.bootId, this.readCount) })
  }

  /**
   * Age of this daemon's reads, in milliseconds. A read of the configuration waits for a change, so its age may be larger by
   * an allowance; beyond it, a read of the list of runners doesn't vouch for a configuration that may have changed.
   */
  private measureReadAge (): number {
    return Math.max(this.measureTopicAge('runners'), this.measureTopicAge('configuration') - this.options.computeTiming().configurationAllowanceMs)
  }

  private applyRunnerChanges (reading: RunnerRegistryUpdate): void {
    const { table, clock, logger, outages } = this.options
    if (this.hasReadRunners && readEra(reading.position) > readEra(table.position)) this.storeRecoveredAtMs = clock.readMonotonicMs()
    // What only this daemon couldn't read says nothing of the entries.
    const graceMs = Math.min(outages.graceMs, Math.max(0, this.storeRecoveredAtMs + EXPIRY_GRACE_MS - clock.readMonotonicMs()))
    applyRunnerReading(table, reading, graceMs, (runner, position) => this.applyAnnouncement(runner, position))
    const expiredIds = reading.changes.filter((change) => change.type === 'removed').map((change) => change.type === 'removed' ? change.id : '')
    if (graceMs > 0 && expiredIds.length > 0) logger.info('runner entries expired during a store outage; keeping the runners for a grace period', { runners: expiredIds, graceMs: Math.round(graceMs), recoveredMs: Math.round(clock.readMonotonicMs() - this.storeRecoveredAtMs) })
    this.hasReadRunners = true
  }

  private applyAnnouncement (runner: Runner, position: number): void {
    const { table, logger, announceLeaving } = this.options
    const isNewlyLeaving = runner.isLeaving && table.markLeaving(runner.id, runner.bornMs)
    table.putRunner(runner, position)
    if (!isNewlyLeaving) return
    logger.info('runner is leaving', { runner: runner.id, service: runner.service, position })
    announceLeaving(runner.id, runner.bornMs)
  }

  /** After a restore, pending long polls may wait at offsets that are given out again; they are repeated from the new era's records. */
  private noteEra (era: number, source: string): void {
    const previous = this.newestEra
    if (previous !== undefined && era <= previous) return
    this.newestEra = era
    if (previous === undefined) return
    this.options.outages.noteRestore()
    this.options.logger.warn('store was restored from an older copy', { era, previous, source, version: this.options.configurations.version })
    this.abortLongPolls()
  }

  private updateReachability (isReachable: boolean): void {
    if (isReachable === this.isReachable) return
    this.isReachable = isReachable
    if (isReachable) this.options.logger.info('store is reachable again')
    else this.options.logger.warn('store is unreachable; syncing from peers')
    // In both cases, pending long polls may hang on a dead connection.
    this.abortLongPolls()
  }

  private abortRetryDelays (): void {
    this.retryAbort.abort()
    this.retryAbort = new AbortController()
  }

  private abortLongPolls (): void {
    this.longPollAbort.abort()
    this.longPollAbort = new AbortController()
  }

  /**
   * Compares a peer's progress with this daemon's, and requests a snapshot from the peer if this daemon lags behind. A reader
   * whose reads succeed does so only after `LAG_TOLERANCE_MS`: if it hasn't caught up by then, it can't reach the store.
   *
   * @example
   * watcher.comparePeerProgress('daemon-2', hints)
   */
  comparePeerProgress (peer: string, { position, changedAt, daemonCount }: PeerProgress): void {
    const { table, clock } = this.options
    if (position !== BEFORE_LOG) this.noteEra(readEra(position), peer)
    const nowMs = clock.readMonotonicMs()
    this.announcedChange = Math.max(this.announcedChange, changedAt)
    if (changedAt <= table.position && daemonCount <= this.daemonCount) {
      // The peer has read nothing but heartbeats beyond this daemon's position.
      if (this.hasReadRunners) table.advancePosition(position)
      if (this.peerAhead === peer) this.laggingSinceMs = undefined
      return
    }
    const isReading = this.updateRole() === 'reader' && !this.topicReads.isFailing('runners') && this.measureTopicAge('runners') <= this.options.computeTiming().lookerAgeMs
    const toleranceMs = isReading ? LAG_TOLERANCE_MS : 0
    if (this.laggingSinceMs === undefined) {
      this.laggingSinceMs = nowMs
      this.peerAhead = peer
    }
    if (nowMs - this.laggingSinceMs < toleranceMs || this.isFetching) return
    this.laggingSinceMs = undefined
    this.fetchFromPeer(peer).catch((error: unknown) => this.options.logger.error('snapshot request failed', { peer, error: describeError(error) }))
  }

  private async fetchFromPeer (peer?: string): Promise<void> {
    const { table, logger } = this.options
    this.isFetching = true
    const requestedAtMs = this.options.clock.readMonotonicMs()
    try {
      const snapshot = await this.options.requestSnapshot({ ...encodePosition(table.position), needsFacts: !this.hasFacts, acceptsIds: true, daemonsDigest: this.options.daemonRecords.digest }, peer)
      if (snapshot === undefined) return
      this.applySnapshot(snapshot, requestedAtMs)
      logger.debug('snapshot received from a peer', { position: table.position })
    } finally {
      this.isFetching = false
    }
  }

  /**
   * Applies the snapshot of a peer.
   *
   * @param madeAfterMs Monotonic time after which it was made, in milliseconds.
   */
  applySnapshot (snapshot: FleetSnapshot, madeAfterMs = this.options.clock.readMonotonicMs()): void {
    const { table, outages } = this.options
    const position = decodePosition(snapshot)
    outages.noteRead(snapshot, madeAfterMs)
    if (snapshot.listedIds !== undefined) this.options.logger.info('a peer can\'t tell all removals; comparing the list of runners with its own', { ...encodePosition(table.position), peerPosition: snapshot.position, runners: table.listIds().length, peerRunners: snapshot.listedIds.length, graceMs: Math.round(outages.graceMs) })
    if (position !== BEFORE_LOG) this.noteEra(readEra(position), 'snapshot')
    if (applyRunnerSnapshot(table, snapshot, { newEraMs: this.hasReadRunners ? EXPIRY_GRACE_MS : undefined, removedMs: outages.graceMs })) {
      this.newestRead.noteReport(snapshot, madeAfterMs)
    }
    if (position !== BEFORE_LOG) this.hasReadRunners = true
    if (Array.isArray(snapshot.facts)) {
      for (const fact of snapshot.facts.filter(isFact)) this.options.facts.addFact(fact)
      this.hasFacts = true
    }
    const { daemonRecords, setDaemons } = this.options
    if (daemonRecords.addDaemons(snapshot)) setDaemons(daemonRecords.daemons, daemonRecords.processorCores)
  }

  /** Notes the outcome of a read of a topic, and logs the first failure in a row and the end of failures. */
  private noteRead<T> (topic: StoreTopic, reading: Outcome<T, CallFailure>, startedAtMs: number, pending: StoreRead | undefined): reading is Extract<Outcome<T, CallFailure>, { ok: true }> {
    const { clock, logger, noteStoreRead } = this.options
    const nowMs = clock.readMonotonicMs()
    if (reading.ok) {
      const failingSinceMs = this.topicReads.noteSuccess(topic, Math.max(startedAtMs, pending?.respondedAfterMs ?? this.options.estimateArrivalMs()))
      if (failingSinceMs !== undefined) {
        logger.info('reads of the store succeed again', { topic, failedForMs: Math.round(nowMs - failingSinceMs) })
        this.abortRetryDelays()
      }
      noteStoreRead(topic, 'ok')
      return true
    }
    if (reading.error.reason === 'cancelled') return false
    noteStoreRead(topic, 'failed')
    const fields = { topic, reason: reading.error.reason, error: describeError(reading.error.message), tookMs: Math.round(nowMs - startedAtMs), ...this.describeTopics() }
    if (this.topicReads.noteFailure(topic, nowMs)) logger.info('reads of the store fail', fields)
    else logger.debug('store read failed', fields)
    return false
  }
}
