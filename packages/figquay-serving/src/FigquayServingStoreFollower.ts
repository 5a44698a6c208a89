/** Keeps a daemon's picture of the platform's store up to date; asks peers while the store can't be read. */
import { describeError, hashText, type CallFailure, type Clock, type Logger, type Outcome, type TaskGroup } from 'figquay'
import { HOLDER_KEY, isFact, type ConfigurationHolder, type Fact, type FleetConfiguration, type FleetFacts, type FleetLeadership, type FleetRunnerTable, type FleetStore, type Runner, type RunnerReading, type SharedReading } from 'figquay-fleet'

import { FACT_PREFIX, type FactKeeper } from './FigquayServingFactKeeper.js'

/** State that one daemon gives to another that can't read the store. */
export interface FleetSnapshot {
  /** Undefined when the asker's is as new. */
  readonly configuration: (Omit<FleetConfiguration, 'services'> & { readonly services: ReadonlyArray<readonly [string, SerialService]> }) | undefined
  readonly runners: ReadonlyArray<{ readonly runner: Runner, readonly position: number }>
  readonly removals: ReadonlyArray<{ readonly id: string, readonly position: number, readonly graceMs: number }>
  readonly position: number
  readonly daemons: ReadonlyArray<readonly [address: string, zone: string]>
  /** What binds every daemon; undefined when the one that is asked doesn't know it yet. */
  readonly facts: readonly Fact[] | undefined
  /** Time since the list was last read where this comes from, in milliseconds. */
  readonly storeAgeMs: number
}

/** How far a peer has read the store. */
export interface PeerReading {
  /** Configuration in force there. */
  readonly version: number
  /** How far it has read the list of runners. */
  readonly position: number
  /** Where in the list the last change was that is more than a sign of life. */
  readonly changedAt: number
  /** Daemons that it knows of. */
  readonly daemonCount: number
}

type SerialService = Omit<ServiceOf, 'engine'> & { readonly engine: (Omit<EngineOf, 'models'> & { readonly models: ReadonlyArray<readonly [string, ModelOf]> }) | undefined }
type ServiceOf = FleetConfiguration['services'] extends ReadonlyMap<string, infer S> ? S : never
type EngineOf = NonNullable<ServiceOf['engine']>
type ModelOf = EngineOf['models'] extends ReadonlyMap<string, infer M> ? M : never

/**
 * How a daemon follows the store: a reader for others as well; a looker follows all but the list of runners, at which it
 * only looks now and then; a listener hears everything from its peers.
 */
export type StoreRole = 'reader' | 'looker' | 'listener'

/** Daemons of a small fleet that follow the store's rarely changing records, the reader included. */
const FOLLOWERS = 3

/**
 * How a daemon of a small fleet follows the store, by its rank among those that it is connected to.
 *
 * @example
 * chooseRole('10.0.0.1:80', []) // 'reader': a daemon alone reads for itself
 */
export function chooseRole (self: string, connected: readonly string[]): StoreRole {
  const ownRank = hashText(self)
  const rank = connected.filter((peer) => hashText(peer) < ownRank).length
  if (rank === 0) return 'reader'
  return rank < FOLLOWERS ? 'looker' : 'listener'
}

/** What the follower needs. */
export interface StoreFollowerOptions {
  /** Whether this daemon is one of those that the others turn to at their start. */
  readonly isSeed: boolean
  readonly clock: Clock
  readonly logger: Logger
  readonly store: FleetStore
  readonly configurations: ConfigurationHolder
  readonly table: FleetRunnerTable
  readonly leadership: FleetLeadership
  readonly facts: FleetFacts
  readonly keeper: Pick<FactKeeper, 'takeRecord'>
  /** Called with the daemons' addresses and zones after each change. */
  readonly setDaemons: (daemons: ReadonlyMap<string, string>) => void
  readonly findRole: () => StoreRole
  /** Tells the peers that a runner leaves, without waiting until they compare what they have read. */
  readonly announceLeaving: (runner: string, bornMs: number) => void
  /** Asks a peer for what is newer than this daemon's picture; undefined when none answers. */
  readonly requestSnapshot: (configurationVersion: number, position: number, peer: string | undefined) => Promise<FleetSnapshot | undefined>
}

/** Longest that a read of rarely changing records is kept waiting, in milliseconds. */
const LONG_WAIT_MS = 20_000
/** Changes in the list of runners are gathered for this long, in milliseconds: well within the time in which a leaving runner must be left alone. */
const RUNNERS_INTERVAL_MS = 400
/** A read of the list is kept waiting this long at most, in milliseconds: the time in which a dead path to the store shows. */
const RUNNERS_WAIT_MS = 1_500
/** A reader that has been behind a peer for this long asks it, in milliseconds: longer than its own reads take. */
const BEHIND_MS = 1_200
/** A daemon for which another reads looks itself this often, in milliseconds, also while its reader seems well. */
const OWN_LOOK_MS = 15_000
/**
 * It looks at once when nothing new has come by its reader for this long, in milliseconds: runners write every 1.2 s or
 * so, and the reader tells within two intervals of its own.
 */
const QUIET_MS = 1_400
/** Looks of this kind are spread over this time, in milliseconds: what one daemon finds, the others hear. */
const QUIET_SPREAD_MS = 200
/** A daemon that waits for its next look checks this often whether its readers have gone quiet, in milliseconds. */
const QUIET_CHECK_MS = 100
/** A failed read is repeated after this time, in milliseconds. */
const FAILED_PAUSE_MS = 250
/** Changes of the daemons' own records are gathered for this long before they are read, in milliseconds. */
const SHARED_INTERVAL_MS = 300
/** A listener asks itself this often whether it must read, in milliseconds. */
const LISTENER_PAUSE_MS = 250
/** A daemon that starts reads the store itself only after it has asked its peers for this long, in milliseconds. */
const START_PATIENCE_MS = 1_500
/** Pause between two such questions, in milliseconds: connecting to a peer takes as long. */
const START_ASK_MS = 100
/** Entries of runners lapse while the store is away; those that live are back this long after its return, in milliseconds (platform). */
const LAPSE_GRACE_MS = 2_000
/** A read that takes this much longer than it was to wait found the store away, in milliseconds. */
const AWAY_MS = 500
/** Prefix of the records by which daemons find each other. */
const DAEMON_PREFIX = 'daemon/'

/** Follows the store. */
export class StoreFollower {
  private readonly daemons = new Map<string, string>()
  private configurationPosition = -1
  private sharedPosition = -1
  private hasReadShared = false
  private hasReadRunners = false
  private hasFacts = false
  private isStoreHeard = true
  private longReads = new AbortController()
  private behindSinceMs: number | undefined
  private behindPeer: string | undefined
  private isAsking = false
  private heardAtMs = Number.NEGATIVE_INFINITY
  private returnedAtMs = Number.NEGATIVE_INFINITY

  private constructor (private readonly options: StoreFollowerOptions) {}

  /**
   * @example
   * const follower = StoreFollower.create(options)
   */
  static create (options: StoreFollowerOptions): StoreFollower {
    return new StoreFollower(options)
  }

  /** Whether the list of runners, a configuration and what binds every daemon are known. */
  get isInformed (): boolean {
    return this.hasReadRunners && this.hasFacts && this.options.configurations.current !== undefined
  }

  /** Whether the last read of the store was answered. */
  get isConnected (): boolean {
    return this.isStoreHeard
  }

  /** Whether this daemon knows the store's shared records, so that it may write one on condition of their end. */
  get mayWrite (): boolean {
    return this.hasReadShared && this.isInformed && !this.isListening
  }

  /** Time since the list of runners was last read, here or where this daemon's picture of it comes from, in milliseconds. */
  get storeAgeMs (): number {
    return this.options.clock.readMonotonicMs() - this.heardAtMs
  }

  /**
   * Starts reading.
   *
   * @example
   * follower.startTasks(tasks)
   */
  startTasks (tasks: TaskGroup): void {
    tasks.startTask('start', async (signal) => {
      if (!this.options.isSeed) await this.learnFromPeers(signal)
      tasks.startTask('shared records', (inner) => this.followLong(inner, (read) => this.readShared(read)))
      tasks.startTask('configuration', (inner) => this.followLong(inner, (read) => this.readConfiguration(read)))
      tasks.startTask('runners', (inner) => this.followRunners(inner))
    })
  }

  /** What a fleet that runs, or the seeds of one that starts, have read need not be read again by all. */
  private async learnFromPeers (signal: AbortSignal): Promise<void> {
    const { clock } = this.options
    const startedAtMs = clock.readMonotonicMs()
    while (!signal.aborted && clock.readMonotonicMs() - startedAtMs < START_PATIENCE_MS) {
      // Which part a daemon has shows only once it is connected.
      if (this.isListening) return
      if (!this.isInformed) await this.fetchFromPeer()
      await clock.waitFor(START_ASK_MS, signal)
    }
  }

  /** Announces this daemon to the others. */
  async announceSelf (address: string, zone: string, signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const written = await this.options.store.writeShared(`${DAEMON_PREFIX}${address}`, zone, undefined)
      if (written.ok) return
      await this.options.clock.waitFor(FAILED_PAUSE_MS, signal)
    }
  }

  /** Daemons that have announced themselves, as far as this one knows. */
  get daemonCount (): number {
    return this.daemons.size
  }

  /** State that a peer lacks. */
  makeSnapshot (configurationVersion: number, position: number): FleetSnapshot {
    const { configurations, table } = this.options
    const current = configurations.current
    return {
      configuration: current === undefined || current.version <= configurationVersion ? undefined : formatConfiguration(current),
      runners: table.listAnnouncements(position),
      removals: table.listRemovals(position),
      position: table.position,
      daemons: [...this.daemons],
      facts: this.hasFacts ? this.options.facts.listAfter(0) : undefined,
      storeAgeMs: Math.min(Math.round(this.storeAgeMs), Number.MAX_SAFE_INTEGER)
    }
  }

  /** Runs a long read again and again; the runners' reads tell when the store is gone and the read must be begun anew. */
  private async followLong (signal: AbortSignal, read: (signal: AbortSignal) => Promise<boolean>): Promise<void> {
    while (!signal.aborted) {
      if (this.isListening) {
        await this.options.clock.waitFor(LISTENER_PAUSE_MS, signal)
        continue
      }
      const inner = this.longReads
      const stop = (): void => inner.abort()
      signal.addEventListener('abort', stop, { once: true })
      const succeeded = await read(inner.signal)
      signal.removeEventListener('abort', stop)
      await this.options.clock.waitFor(succeeded ? 0 : FAILED_PAUSE_MS, signal)
    }
  }

  private get isListening (): boolean {
    return this.isInformed && this.options.findRole() === 'listener'
  }

  private async readConfiguration (signal: AbortSignal): Promise<boolean> {
    const { store, configurations, logger } = this.options
    const reading = await store.readConfiguration(this.configurationPosition, LONG_WAIT_MS, signal)
    if (!reading.ok) return this.noteFailure('configuration', reading)
    this.configurationPosition = reading.value.position
    const { configuration } = reading.value
    if (configuration !== undefined && configurations.adoptConfiguration(configuration)) {
      logger.info('configuration in force', { version: configuration.version, routes: configuration.routes.length, source: 'store' })
    }
    return true
  }

  private async readShared (signal: AbortSignal): Promise<boolean> {
    const { store, clock, leadership } = this.options
    const reading = await store.readShared(this.sharedPosition, LONG_WAIT_MS, signal)
    if (!reading.ok) return this.noteFailure('shared records', reading)
    this.takeShared(reading.value)
    this.hasReadShared = true
    this.hasFacts = true
    leadership.noteEnd(reading.value.end)
    await clock.waitFor(SHARED_INTERVAL_MS, signal)
    return true
  }

  private takeShared (reading: SharedReading): void {
    const before = this.daemons.size
    let hasChanged = false
    for (const { key, value, position } of reading.records) {
      this.sharedPosition = Math.max(this.sharedPosition, position)
      if (key === HOLDER_KEY && value !== undefined) this.options.leadership.noteRecord(value, position)
      if (key.startsWith(FACT_PREFIX)) this.options.keeper.takeRecord(key, value)
      if (!key.startsWith(DAEMON_PREFIX)) continue
      const address = key.slice(DAEMON_PREFIX.length)
      hasChanged = true
      if (value === undefined) this.daemons.delete(address)
      else this.daemons.set(address, value)
    }
    this.sharedPosition = Math.max(this.sharedPosition, reading.end - 1)
    if (hasChanged || before !== this.daemons.size) this.options.setDaemons(this.daemons)
  }

  private async followRunners (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (this.isListening) {
        await this.waitWhileListening(signal)
        continue
      }
      const startedAtMs = this.options.clock.readMonotonicMs()
      const isReader = this.options.findRole() === 'reader' || !this.hasReadRunners
      const waitMs = isReader ? RUNNERS_WAIT_MS : 0
      const reading = await this.options.store.readRunners(this.options.table.position, waitMs, signal)
      if (reading.ok) {
        const nowMs = this.options.clock.readMonotonicMs()
        if (!this.isStoreHeard || nowMs - startedAtMs > waitMs + AWAY_MS) this.returnedAtMs = nowMs
        this.takeRunners(reading.value)
        this.heardAtMs = this.options.clock.readMonotonicMs()
        this.noteHeard(true)
      } else if (!signal.aborted) {
        this.noteFailure('runners', reading)
        this.noteHeard(false)
        await this.fetchFromPeer()
      }
      const spentMs = this.options.clock.readMonotonicMs() - startedAtMs
      if (isReader || !reading.ok) await this.options.clock.waitFor(Math.max(reading.ok ? 0 : FAILED_PAUSE_MS, RUNNERS_INTERVAL_MS - spentMs), signal)
      else await this.waitForLook(startedAtMs, signal)
    }
  }

  /** Waits until the next look is due, or the reader has told nothing new for too long. */
  private async waitForLook (lastLookMs: number, signal: AbortSignal): Promise<void> {
    const { clock, table, findRole } = this.options
    const quietMs = QUIET_MS + QUIET_SPREAD_MS * Math.random()
    let knownPosition = table.position
    let changedAtMs = clock.readMonotonicMs()
    while (!signal.aborted && findRole() === 'looker') {
      await clock.waitFor(QUIET_CHECK_MS, signal)
      const nowMs = clock.readMonotonicMs()
      if (table.position !== knownPosition) {
        knownPosition = table.position
        changedAtMs = nowMs
      }
      if (nowMs - changedAtMs >= quietMs || nowMs - lastLookMs >= OWN_LOOK_MS) return
    }
  }

  private async waitWhileListening (signal: AbortSignal): Promise<void> {
    while (!signal.aborted && this.isListening) await this.options.clock.waitFor(LISTENER_PAUSE_MS, signal)
  }

  private takeRunners (reading: RunnerReading): void {
    const { table, clock, logger } = this.options
    const graceMs = Math.max(0, this.returnedAtMs + LAPSE_GRACE_MS - clock.readMonotonicMs())
    for (const change of reading.changes) {
      if (change.type === 'announced') this.takeAnnouncement(change.runner, change.position)
      else table.removeRunner(change.id, change.position, graceMs)
    }
    if (reading.isComplete) table.keepOnly(new Set(reading.changes.flatMap((change) => change.type === 'announced' ? [change.runner.id] : [])), reading.position, graceMs)
    const lapsed = reading.changes.filter((change) => change.type === 'removed').map((change) => change.type === 'removed' ? change.id : '')
    if (graceMs > 0 && lapsed.length > 0) logger.info('entries lapsed while the store was away; kept for a while', { runners: lapsed, graceMs: Math.round(graceMs) })
    table.notePosition(reading.position)
    this.hasReadRunners = true
  }

  private takeAnnouncement (runner: Runner, position: number): void {
    const { table, logger, announceLeaving } = this.options
    const isNew = runner.isLeaving && table.markLeaving(runner.id, runner.bornMs)
    table.putRunner(runner, position)
    if (!isNew) return
    logger.info('runner leaves', { runner: runner.id, service: runner.service, position })
    announceLeaving(runner.id, runner.bornMs)
  }

  private noteHeard (isHeard: boolean): void {
    if (isHeard === this.isStoreHeard) return
    this.isStoreHeard = isHeard
    if (isHeard) this.options.logger.info('store is back')
    else this.options.logger.warn('store can\'t be read; asking peers')
    // Reads that were kept waiting may hang on a dead connection, in either case.
    this.longReads.abort()
    this.longReads = new AbortController()
  }

  /**
   * Compares with what a peer has read; a daemon that stays behind can't reach the store and asks the peer.
   *
   * @example
   * follower.notePeer('daemon-2', hints)
   */
  notePeer (peer: string, { version, position, changedAt, daemonCount }: PeerReading): void {
    const { configurations, table, clock } = this.options
    const nowMs = clock.readMonotonicMs()
    if (version <= configurations.version && changedAt <= table.position && daemonCount <= this.daemons.size) {
      // What the peer has read beyond this says nothing new.
      if (this.hasReadRunners) table.notePosition(position)
      if (this.behindPeer === peer) this.behindSinceMs = undefined
      return
    }
    const patienceMs = this.options.findRole() === 'reader' ? BEHIND_MS : 0
    if (this.behindSinceMs === undefined) {
      this.behindSinceMs = nowMs
      this.behindPeer = peer
    }
    if (nowMs - this.behindSinceMs < patienceMs || this.isAsking) return
    this.behindSinceMs = undefined
    this.fetchFromPeer(peer).catch((error: unknown) => this.options.logger.error('peer could not be asked', { peer, error: describeError(error) }))
  }

  private async fetchFromPeer (peer?: string): Promise<void> {
    const { configurations, table, logger } = this.options
    this.isAsking = true
    try {
      const snapshot = await this.options.requestSnapshot(configurations.version, table.position, peer)
      if (snapshot === undefined) return
      this.takeSnapshot(snapshot)
      logger.debug('asked a peer', { version: configurations.version, position: table.position })
    } finally {
      this.isAsking = false
    }
  }

  /** Takes in what a peer knows. */
  takeSnapshot (snapshot: FleetSnapshot): void {
    const { configurations, table, logger, clock } = this.options
    if (snapshot.configuration !== undefined && configurations.adoptConfiguration(parseConfiguration(snapshot.configuration))) {
      logger.info('configuration in force', { version: configurations.version, source: 'peer' })
    }
    for (const { runner, position } of snapshot.runners) table.putRunner(runner, position)
    for (const { id, position, graceMs } of snapshot.removals) table.removeRunner(id, position, graceMs)
    table.notePosition(snapshot.position)
    if (snapshot.position >= 0) this.hasReadRunners = true
    this.heardAtMs = Math.max(this.heardAtMs, clock.readMonotonicMs() - snapshot.storeAgeMs)
    if (Array.isArray(snapshot.facts)) {
      for (const fact of snapshot.facts.filter(isFact)) this.options.facts.addFact(fact)
      this.hasFacts = true
    }
    let hasNew = false
    for (const [address, zone] of snapshot.daemons) {
      if (this.daemons.has(address)) continue
      this.daemons.set(address, zone)
      hasNew = true
    }
    if (hasNew) this.options.setDaemons(this.daemons)
  }

  private noteFailure (what: string, outcome: Outcome<unknown, CallFailure>): false {
    if (!outcome.ok && outcome.error.reason !== 'cancelled') {
      this.options.logger.debug('store read failed', { what, error: describeError(outcome.error.message) })
    }
    return false
  }
}

function formatConfiguration (configuration: FleetConfiguration): FleetSnapshot['configuration'] {
  const services = [...configuration.services].map(([name, service]): readonly [string, SerialService] => [name, {
    ...service, engine: service.engine === undefined ? undefined : { ...service.engine, models: [...service.engine.models] }
  }])
  return { ...configuration, services }
}

function parseConfiguration (serial: NonNullable<FleetSnapshot['configuration']>): FleetConfiguration {
  const services = new Map(serial.services.map(([name, service]): [string, ServiceOf] => [name, {
    ...service, engine: service.engine === undefined ? undefined : { ...service.engine, models: new Map(service.engine.models) }
  }]))
  return { ...serial, services }
}
