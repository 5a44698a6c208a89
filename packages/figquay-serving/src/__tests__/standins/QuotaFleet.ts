/** Daemons that keep quotas together, on virtual time: links that can be cut, and a leader that is replaced, suspended or lost. */
import { JsonLogger, makeFailure, makeSuccess, type Clock, type Outcome, TaskGroup } from 'figquay'
import { ConfigurationHolder, type Customer, type CustomerQuota } from 'figquay-fleet'
import type { QuotaRequest, QuotaTolerance } from 'figquay-routing'
import { FleetQuotas, ServingTelemetry, type ServedRequest } from '../../index.js'
import { CONFIGURATION, ROUTE } from './ScriptedRouter.js'
import { SimulatedClock } from './SimulatedClock.js'

const LINK_MS = 1
const DEADLINE_MS = 6_000

/** A request that was admitted. */
export interface Admission {
  readonly customer: string
  readonly daemon: number
  readonly sentAtMs: number
  readonly atMs: number
  readonly cost: number
}

interface QuotaDaemon {
  quotas: FleetQuotas
  tasks: TaskGroup
  readonly configurations: ConfigurationHolder
  readonly leadership: { leader: { daemon: string, fence: number } | undefined, isLeader: boolean, fencingToken: number | undefined }
  /** Daemons of other groups aren't reached. */
  group: number
  isDown: boolean
  /** A suspended daemon does nothing until then; its monotonic clock stands still. */
  suspendedUntilMs: number
  suspendedMs: number
  boots: number
}

/** What a fleet needs. */
export interface QuotaFleetOptions {
  readonly daemonCount: number
  readonly quotas: Readonly<Record<string, CustomerQuota>>
  readonly tolerance: QuotaTolerance
  /** Daemons of the release before: they ask no leader, and as leaders don't know the exchange. */
  readonly oldDaemons?: ReadonlySet<number>
}

/** A fleet on virtual time. */
export class QuotaFleet {
  readonly clock = SimulatedClock.create()
  readonly admissions: Admission[] = []
  /** Requests that were sent and refused, by customer and status. */
  readonly refusals = new Map<string, number>()
  arrivals = 0
  exchanges = 0
  private readonly daemons: QuotaDaemon[] = []
  private fence = 0
  private version = 1

  private constructor (private readonly options: QuotaFleetOptions) {
    for (let index = 0; index < options.daemonCount; index += 1) this.daemons.push(this.makeDaemon(index))
    this.startAll()
  }

  /**
   * @example
   * const fleet = QuotaFleet.create({ daemonCount: 80, quotas: { desk: quota }, tolerance })
   */
  static create (options: QuotaFleetOptions): QuotaFleet {
    return new QuotaFleet(options)
  }

  private makeDaemon (index: number): QuotaDaemon {
    const configurations = ConfigurationHolder.create()
    configurations.adoptConfiguration({ ...CONFIGURATION, version: this.version, customers: makeCustomers(this.options.quotas) })
    const daemon = { configurations, leadership: { leader: undefined, isLeader: false, fencingToken: undefined }, group: 0, isDown: false, suspendedUntilMs: 0, suspendedMs: 0, boots: 0 } as unknown as QuotaDaemon
    this.boot(index, daemon)
    return daemon
  }

  private boot (index: number, daemon: QuotaDaemon): void {
    const { clock } = this
    const ownClock: Clock = { now: () => clock.now(), readMonotonicMs: () => clock.readMonotonicMs() - daemon.suspendedMs, waitFor: async (ms, signal) => await this.waitAwake(daemon, ms, signal) }
    const logger = JsonLogger.create('test', 'silent')
    daemon.boots += 1
    daemon.tasks = TaskGroup.create(ownClock, logger)
    daemon.quotas = FleetQuotas.create({
      self: `d${index}`,
      bootId: `boot-${index}-${daemon.boots}`,
      clock: ownClock,
      logger,
      configurations: daemon.configurations,
      leadership: daemon.leadership,
      tolerance: this.options.tolerance,
      callPeer: async <T>(peer: string, _method: string, params: unknown, timeoutMs: number) => await this.callPeer<T>(index, Number(peer.slice(1)), params as QuotaRequest, timeoutMs),
      listDaemons: () => new Set(this.daemons.map((_, other) => `d${other}`)),
      telemetry: ServingTelemetry.create(ownClock, logger)
    })
  }

  private startAll (): void {
    for (const [index, { quotas, tasks }] of this.daemons.entries()) if (this.options.oldDaemons?.has(index) !== true) quotas.start(tasks)
  }

  private async waitAwake (daemon: QuotaDaemon, ms: number, signal?: AbortSignal): Promise<void> {
    await this.clock.waitFor(ms, signal)
    while (this.clock.readMonotonicMs() < daemon.suspendedUntilMs) await this.clock.waitFor(daemon.suspendedUntilMs - this.clock.readMonotonicMs())
  }

  private async callPeer <T>(from: number, to: number, request: QuotaRequest, timeoutMs: number): Promise<Outcome<T, string>> {
    const { clock } = this
    const isReached = (): boolean => this.daemons[from]!.group === this.daemons[to]!.group && !this.daemons[to]!.isDown
    await clock.waitFor(LINK_MS)
    if (isReached() && this.daemons[to]!.suspendedUntilMs <= clock.readMonotonicMs()) {
      if (this.options.oldDaemons?.has(to) === true) return makeFailure('Method not found')
      this.exchanges += 1
      const reply = JSON.parse(JSON.stringify(this.daemons[to]!.quotas.handleTake(JSON.parse(JSON.stringify(request)) as QuotaRequest))) as T
      await clock.waitFor(LINK_MS)
      if (isReached()) return makeSuccess(reply)
    }
    await clock.waitFor(timeoutMs)
    return makeFailure('Request timeout')
  }

  /** Makes a daemon the leader for the daemons of its group, or for none; the former leader learns of it unless it is elsewhere. */
  setLeader (index: number | undefined): void {
    this.fence += 1
    const group = index === undefined ? undefined : this.daemons[index]!.group
    for (const [other, { leadership, group: otherGroup }] of this.daemons.entries()) {
      if (group !== undefined && otherGroup !== group) continue
      leadership.leader = { daemon: index === undefined ? '' : `d${index}`, fence: this.fence }
      leadership.isLeader = other === index
      leadership.fencingToken = leadership.isLeader ? this.fence : undefined
    }
  }

  /** A leader that can't confirm that it still is one hands out nothing. */
  stopIssuing (index: number): void {
    this.daemons[index]!.leadership.fencingToken = undefined
  }

  /** Cuts daemons off from all others. */
  cut (indexes: readonly number[], group = 1): void {
    for (const index of indexes) this.daemons[index]!.group = group
  }

  /** Suspends a daemon. */
  suspend (index: number, ms: number): void {
    const daemon = this.daemons[index]!
    daemon.suspendedUntilMs = this.clock.readMonotonicMs() + ms
    daemon.suspendedMs += ms
  }

  /** Kills daemons and starts them anew after a while. */
  async restart (indexes: readonly number[], downMs: number): Promise<void> {
    for (const index of indexes) {
      const daemon = this.daemons[index]!
      daemon.isDown = true
      daemon.tasks.stop().catch(() => {})
      daemon.leadership.fencingToken = undefined
    }
    await this.clock.runFor(downMs)
    for (const index of indexes) {
      const daemon = this.daemons[index]!
      daemon.isDown = false
      this.boot(index, daemon)
      daemon.quotas.start(daemon.tasks)
    }
  }

  /** Puts other quotas in force at all daemons. */
  setQuotas (quotas: Readonly<Record<string, CustomerQuota>>): void {
    this.version += 1
    for (const { configurations } of this.daemons) configurations.adoptConfiguration({ ...CONFIGURATION, version: this.version, customers: makeCustomers(quotas) })
  }

  /**
   * Has callers of a customer send requests for a while, at random times.
   *
   * @param daemons Daemons that they send to, each as often.
   * @param random Returns numbers from 0 to 1.
   */
  sendLoad (customer: string, daemons: readonly number[], requestsPerSecond: number, cost: number, forMs: number, random: () => number): void {
    const send = async (): Promise<void> => {
      const untilMs = this.clock.readMonotonicMs() + forMs
      while (true) {
        await this.clock.waitFor(-Math.log(1 - random()) / requestsPerSecond * 1_000)
        if (this.clock.readMonotonicMs() >= untilMs) return
        this.sendRequest(customer, daemons[Math.floor(random() * daemons.length)]!, cost).catch((error: unknown) => this.refusals.set(String(error), 1))
      }
    }
    send().catch((error: unknown) => this.refusals.set(String(error), 1))
  }

  private async sendRequest (customer: string, index: number, cost: number): Promise<void> {
    const daemon = this.daemons[index]!
    const sentAtMs = this.clock.readMonotonicMs()
    this.arrivals += 1
    if (daemon.isDown) return
    await this.waitAwake(daemon, 0)
    const { quotas, configurations, boots } = daemon
    const nowMs = this.clock.readMonotonicMs() - daemon.suspendedMs
    const request = { id: 'r', route: ROUTE, model: undefined, adapter: undefined, customer: configurations.current!.customers!.get(customer), promptTokens: cost, maxOutputTokens: 0, arrivedAtMs: nowMs, deadlineAtMs: nowMs + DEADLINE_MS } as unknown as ServedRequest
    const quota = await quotas.acquireQuota(request, new AbortController().signal)
    if (daemon.boots !== boots || daemon.isDown) return
    if (quota instanceof Error) this.refusals.set(`${customer} ${quota.status}`, (this.refusals.get(`${customer} ${quota.status}`) ?? 0) + 1)
    else this.admissions.push({ customer, daemon: index, sentAtMs, atMs: this.clock.readMonotonicMs(), cost })
  }

  /** Most that a customer's requests cost which were sent and admitted within one window. */
  measureWorstWindow (customer: string, windowMs: number, sinceMs = 0): number {
    const own = this.admissions.filter((admission) => admission.customer === customer && admission.sentAtMs >= sinceMs).sort((a, b) => a.atMs - b.atMs)
    return Math.max(0, ...own.map(({ atMs: endMs }) => own.reduce((sum, { atMs, sentAtMs, cost }) => atMs <= endMs && sentAtMs > endMs - windowMs ? sum + cost : sum, 0)))
  }

  /** Sums what a customer's requests cost that were admitted since a time. */
  sumAdmitted (customer: string, sinceMs = 0): number {
    return this.admissions.reduce((sum, admission) => admission.customer === customer && admission.atMs >= sinceMs ? sum + admission.cost : sum, 0)
  }
}

function makeCustomers (quotas: Readonly<Record<string, CustomerQuota>>): ReadonlyMap<string, Customer> {
  return new Map(Object.entries(quotas).map(([name, quota]): [string, Customer] => [name, { name, keyDigests: [name], priority: undefined, quota }]))
}
