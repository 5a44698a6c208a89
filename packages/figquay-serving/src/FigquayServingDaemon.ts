/** A daemon that serves a fleet: its parts, what they tell its peers, and how it starts and stops. */
import { makeId, TaskGroup, type Clock, type Logger } from 'figquay'
import { choosePlanPause, ConfigurationHolder, FleetDemand, FleetFacts, FleetLeadership, FleetPlacement, FleetRunnerTable, OrderBook, PromptMemory, type CrashFact, type Fact, type FleetStore, type Runner, type RunnerOrderClient } from 'figquay-fleet'
import { RetryBudget } from 'figquay-routing'
import { AttemptWatch } from './FigquayServingAttemptWatch.js'
import { CrashEvidence } from './FigquayServingCrashEvidence.js'
import { ServingDispatcher } from './FigquayServingDispatcher.js'
import { FactKeeper } from './FigquayServingFactKeeper.js'
import { ServingPeers } from './FigquayServingPeers.js'
import { ServingRouter, shortenFingerprint } from './FigquayServingRouter.js'
import { StoreFollower, type StoreRole } from './FigquayServingStoreFollower.js'
import { ServingTraces } from './FigquayServingTraces.js'
import type { RunnerExchangeClient } from './FigquayServingTypes.js'

/** What a daemon needs. */
export interface ServingDaemonOptions {
  /** `ip:port` at which peers reach this daemon; its name among them. */
  readonly address: string
  readonly zone: string
  /** Tells this process from earlier ones. */
  readonly bootId: string
  /** Addresses of daemons to begin with; they may be gone. */
  readonly seeds: readonly string[]
  readonly peerSecrets: readonly string[]
  /** Retries that a service bears, over all daemons. */
  readonly retries: { readonly perRequest: number, readonly burst: number }
  readonly clock: Clock
  readonly logger: Logger
  readonly store: FleetStore
  readonly orderClient: RunnerOrderClient
  readonly exchanges: RunnerExchangeClient
}

const PLAN_INTERVAL_MS = 100
const LEADERSHIP_INTERVAL_MS = 100
/** How often facts are written, and attempts without a word looked after, in milliseconds: a part of the time in which a caller comes again. */
const FACTS_INTERVAL_MS = 200
/** Daemons that the retries of a service are divided among when fewer are known. */
const FEWEST_DAEMONS = 8

/** One daemon of the fleet. */
export class ServingDaemon {
  readonly configurations = ConfigurationHolder.create()
  readonly traces: ServingTraces
  readonly router: ServingRouter
  private readonly tasks: TaskGroup
  private readonly table: FleetRunnerTable
  private readonly peers: ServingPeers
  private readonly follower: StoreFollower
  private readonly leadership: FleetLeadership
  private readonly placement: FleetPlacement
  private readonly dispatcher: ServingDispatcher
  private readonly facts: FleetFacts
  private readonly evidence: CrashEvidence
  private readonly keeper: FactKeeper
  private readonly watch: AttemptWatch
  private readonly budgets = new Map<string, RetryBudget>()
  private mayPlanAtMs = Number.NEGATIVE_INFINITY
  private isPlanComing = false
  private stopping = false

  private constructor (private readonly options: ServingDaemonOptions) {
    const { clock, logger, address, bootId, store, zone, orderClient, exchanges } = options
    const { configurations } = this
    this.tasks = TaskGroup.create(clock, logger)
    this.traces = ServingTraces.create(clock, logger)
    this.table = FleetRunnerTable.create(clock)
    const facts = FleetFacts.create(clock)
    this.facts = facts
    this.evidence = CrashEvidence.create((fact) => facts.isInForce(fact), (fact) => this.hasEnded(fact))
    facts.registerListener((fact) => this.takeFact(fact))
    const demand = FleetDemand.create(clock)
    const memory = PromptMemory.create(clock)
    const { table } = this
    this.leadership = FleetLeadership.create({ self: address, bootId, store, clock, logger, listConnected: () => this.peers.connectedPeers, mayApply: () => this.follower.mayWrite })
    const { leadership } = this
    this.keeper = FactKeeper.create({ clock, logger, store, facts, isHolder: () => leadership.isHolder })
    this.watch = AttemptWatch.create({ clock, table, exchanges, reportCrash: (runner, crash) => this.reportCrash('crash', runner, crash), reportDoubt: (runner, crash) => this.reportCrash('doubt', runner, crash), recordQuestion: (message, fields) => this.traces.recordQuestion(message, fields) })
    const announceLeaving = (runner: string, bornMs: number): void => this.peers.announceLeaving(runner, bornMs)
    const orders = OrderBook.create({ self: address, client: orderClient, table, leadership, clock, logger, announceHoldings: (runner, bornMs, holdings) => this.peers.announceHoldings(runner, bornMs, holdings), announceLeaving })
    this.placement = FleetPlacement.create({ clock, logger, configurations, table, demand, leadership, orders, sumOpen: () => this.peers.hints.sumOpen() })
    this.dispatcher = ServingDispatcher.create({ clock, zone, configurations, table, memory, exchanges, announceNeeds: () => this.peers.announceNeeds() })
    this.peers = ServingPeers.create({
      self: { id: address, zone, address },
      bootId,
      seeds: options.seeds,
      secrets: options.peerSecrets,
      clock,
      logger,
      tasks: this.tasks,
      table,
      demand,
      configurations,
      leadership,
      listNeeds: () => this.dispatcher.listNeeds(),
      noteAdapterUse: (runner, key) => this.placement.noteAdapterUse(runner, key),
      facts,
      makeSnapshot: (version, position) => this.follower.makeSnapshot(version, position),
      notePeer: (peer, reading) => this.follower.notePeer(peer, reading),
      measureStoreAge: () => this.follower.storeAgeMs,
      countDaemons: () => this.follower.daemonCount,
      planSoon: () => this.planSoon()
    })
    this.follower = StoreFollower.create({
      isSeed: options.seeds.length === 0 || options.seeds.includes(address),
      clock,
      logger,
      store,
      configurations,
      table,
      leadership,
      facts,
      keeper: this.keeper,
      setDaemons: (daemons) => this.peers.setDaemons(daemons),
      requestSnapshot: (version, position, peer) => this.peers.requestSnapshot(version, position, peer),
      findRole: () => this.findStoreRole(),
      announceLeaving
    })
    this.router = ServingRouter.create({
      clock,
      configurations,
      table,
      memory,
      demand,
      dispatcher: this.dispatcher,
      exchanges,
      watch: this.watch,
      evidence: this.evidence,
      traces: this.traces,
      findBudget: (service) => this.findBudget(service),
      acquitRequest: (fingerprint) => this.publishLasting({ type: 'acquittal', id: makeId('acquittal'), fingerprint, atMs: clock.now().getTime() }),
      takePermit: (request) => this.peers.suspects.takePermit(request),
      returnPermit: (request) => this.peers.suspects.returnPermit(request),
      noteAdapterUse: (runner, key) => this.peers.hints.noteAdapterUse(runner, key),
      announceLeaving
    })
  }

  /**
   * @example
   * const daemon = ServingDaemon.create(options)
   */
  static create (options: ServingDaemonOptions): ServingDaemon {
    return new ServingDaemon(options)
  }

  /** Whether the platform should send callers here. */
  get isReady (): boolean {
    return !this.stopping && this.follower.isInformed
  }

  /** Whether a graceful stop has begun. */
  get isStopping (): boolean {
    return this.stopping
  }

  /**
   * Listens for peers and starts following the store.
   *
   * @example
   * await daemon.start()
   */
  async start (): Promise<void> {
    await this.peers.start()
    this.follower.startTasks(this.tasks)
    this.tasks.startTask('announcement', (signal) => this.follower.announceSelf(this.options.address, this.options.zone, signal))
    this.tasks.startLoop('leadership', LEADERSHIP_INTERVAL_MS, () => this.leadership.refresh())
    this.tasks.startLoop('attempts without a word', FACTS_INTERVAL_MS, async () => this.watch.refresh())
    this.tasks.startLoop('facts', FACTS_INTERVAL_MS, () => this.keeper.refresh())
    this.tasks.startLoop('placement', PLAN_INTERVAL_MS, async () => this.runPlans())
  }

  /**
   * Says from now on that callers should go elsewhere; what is under way goes on.
   *
   * @param lastMs Time by which requests must have ended, on the monotonic clock.
   * @example
   * daemon.beginStop(clock.readMonotonicMs() + 7_000)
   */
  beginStop (lastMs: number): void {
    this.stopping = true
    this.dispatcher.setLastWait(lastMs)
  }

  /** Ends tasks and connections. */
  async stop (): Promise<void> {
    this.stopping = true
    this.peers.close()
    this.options.store.close()
    await this.tasks.stop()
  }

  private runPlans (): void {
    const { clock } = this.options
    const startedAtMs = clock.readMonotonicMs()
    if (startedAtMs < this.mayPlanAtMs) return
    this.placement.runPlans()
    const endedAtMs = clock.readMonotonicMs()
    this.mayPlanAtMs = endedAtMs + choosePlanPause(endedAtMs - startedAtMs)
  }

  /** Plans as soon as the last plans are old enough, at once if they are. */
  private planSoon (): void {
    if (this.isPlanComing) return
    const { clock } = this.options
    const waitMs = this.mayPlanAtMs - clock.readMonotonicMs()
    if (waitMs <= 0) {
      this.runPlans()
      return
    }
    this.isPlanComing = true
    clock.waitFor(waitMs, this.tasks.signal).then(() => {
      this.isPlanComing = false
      this.runPlans()
    })
  }

  private findStoreRole (): StoreRole {
    const role = this.peers.storeRole
    return role === 'listener' && (this.leadership.mustAskStore || this.leadership.isHeir) ? 'looker' : role
  }

  private findBudget (service: string): RetryBudget {
    const { perRequest, burst } = this.options.retries
    const share = burst / Math.max(FEWEST_DAEMONS, this.peers.daemonCount)
    const budget = this.budgets.get(service) ?? RetryBudget.create({ perRequest, largestReserve: share, firstReserve: share })
    this.budgets.set(service, budget)
    return budget
  }

  /** What every daemon must know acts here, whether found out here or heard of. */
  private takeFact (fact: Fact): void {
    this.evidence.addFact(fact)
    if (fact.type === 'leaving') this.table.markLeaving(fact.runner, fact.bornMs)
    if (fact.type !== 'crash' && fact.type !== 'doubt') return
    const fingerprints = [...fact.suspects, ...fact.bystanders]
    const quarantined = fingerprints.filter((fingerprint) => this.evidence.judgeRequest(fingerprint) === 'quarantined')
    this.options.logger.info(fact.type === 'crash' ? 'runner ended under requests' : 'runner may have ended under requests', {
      fact: fact.id, runner: fact.runner, bornMs: fact.bornMs, ageMs: this.options.clock.now().getTime() - fact.atMs, suspects: fact.suspects.map(shortenFingerprint), isolated: fact.isolated.length, bystanders: fact.bystanders.length, quarantined: quarantined.map(shortenFingerprint)
    })
  }

  /** Whether a start of a runner is over, by the list alone and without its having left. */
  private hasEnded ({ runner, bornMs }: CrashFact): boolean {
    return this.follower.isInformed && this.table.findRunner(runner)?.bornMs !== bornMs && !this.table.hasLeft(runner, bornMs)
  }

  private reportCrash (type: CrashFact['type'], runner: Runner, crash: Pick<CrashFact, 'suspects' | 'isolated' | 'bystanders'>): void {
    this.table.restRunner(runner.id)
    this.publishLasting({ type, id: makeId(type), runner: runner.id, bornMs: runner.bornMs, atMs: this.options.clock.now().getTime(), ...crash })
  }

  /** Tells what must outlive this daemon. */
  private publishLasting (fact: Fact): void {
    this.keeper.addOwn(fact)
    this.peers.publishFact(fact)
  }
}
