/** Takes, renews and gives back leases on cells of runners. */
import { hashText, makeId, type Clock, type Logger } from 'figquay'
import type { FoldedStream, LogAppender } from 'figquay-log'
import type { Membership } from 'figquay-membership'
import type { Lease, LeaseData, PlacementFold, ReleaseData, RenewData } from './FigquayPlacementFold.js'

/** What the lease keeper needs. */
export interface LeaseKeeperOptions {
  /** `daemon/incarnation`. */
  readonly holder: string
  readonly stream: FoldedStream<PlacementFold>
  readonly appender: LogAppender
  readonly membership: Membership
  readonly clock: Clock
  readonly logger: Logger
}

/** A lease lapses this long after its last renewal was sent, in milliseconds. */
export const LEASE_TTL_MS = 4_000
const RENEW_EVERY_MS = 1_300
/** A successor waits this much longer than the lease, for clocks that run at different speeds. */
const TAKEOVER_MARGIN_MS = 600
const RANK_STEP_MS = 250
/** An order is not sent when the lease ends within this time. */
const SEND_MARGIN_MS = 400

interface HeldLease {
  readonly lease: number
  /** Monotonic time until which the lease is surely ours. */
  readonly validUntilMs: number
}

interface Observation {
  readonly renewal: number
  readonly seenAtMs: number
}

/**
 * Daemon part of a holder's name.
 *
 * @example
 * readDaemonOf('daemon-3/1f2e') // 'daemon-3'
 */
export function readDaemonOf (holder: string): string {
  return holder.split('/')[0]!
}

/** Leases of one daemon. */
export class LeaseManager {
  private held: ReadonlyMap<string, HeldLease> = new Map()
  private readonly observations = new Map<string, Observation>()
  private lastRenewAtMs = Number.NEGATIVE_INFINITY
  private isReleasing = false

  private constructor (private readonly options: LeaseKeeperOptions) {}

  /**
   * @example
   * const keeper = LeaseKeeper.create(options)
   */
  static create (options: LeaseKeeperOptions): LeaseManager {
    return new LeaseManager(options)
  }

  /** Cells whose lease this daemon holds by the log, lapsed or not. */
  listHeldCells (): string[] {
    return [...this.held.keys()].filter((cell) => this.readLease(cell) !== undefined)
  }

  /** Offset of the lease on a cell, while the log says that it is this daemon's. */
  readLease (cell: string): number | undefined {
    const held = this.held.get(cell)
    const current = this.options.stream.fold.findLease(cell)
    return held !== undefined && current?.offset === held.lease && current.holder === this.options.holder ? held.lease : undefined
  }

  /** Whether the lease is surely still ours for as long as an order takes to be sent. */
  isValid (cell: string): boolean {
    const held = this.held.get(cell)
    return held !== undefined && this.readLease(cell) !== undefined &&
      this.options.clock.readMonotonicMs() + SEND_MARGIN_MS < held.validUntilMs
  }

  /** Daemon that holds a cell, by the log. */
  findHolder (cell: string): string | undefined {
    const holder = this.options.stream.fold.findLease(cell)?.holder
    return holder === undefined || holder === '' ? undefined : readDaemonOf(holder)
  }

  /**
   * One round: renew what is held, take what is free.
   *
   * @example
   * await keeper.keepLeases(['manual-assistant'])
   */
  async keepLeases (cells: readonly string[]): Promise<void> {
    if (!this.options.stream.isCaughtUp || this.isReleasing) return
    this.dropLost()
    await this.renewHeld()
    for (const cell of cells) {
      if (!this.held.has(cell) && this.isFree(cell, this.options.stream.fold.findLease(cell))) await this.takeLease(cell)
    }
  }

  /** Gives every lease back, so that others need not wait for it to lapse. */
  async releaseAll (): Promise<void> {
    this.isReleasing = true
    const leases = Object.fromEntries([...this.held].map(([cell, held]) => [cell, held.lease]))
    this.held = new Map()
    if (Object.keys(leases).length === 0) return
    const data: ReleaseData = { type: 'release', holder: this.options.holder, leases }
    await this.options.appender.appendRecord({ id: makeId('release'), data })
  }

  private dropLost (): void {
    const kept = [...this.held].filter(([cell]) => this.readLease(cell) !== undefined)
    if (kept.length < this.held.size) this.options.logger.warn('lease lost', { held: kept.map(([cell]) => cell) })
    this.held = new Map(kept)
  }

  private async renewHeld (): Promise<void> {
    const sentAtMs = this.options.clock.readMonotonicMs()
    if (this.held.size === 0 || sentAtMs - this.lastRenewAtMs < RENEW_EVERY_MS) return
    this.lastRenewAtMs = sentAtMs
    const leases = Object.fromEntries([...this.held].map(([cell, held]) => [cell, held.lease]))
    const data: RenewData = { type: 'renew', holder: this.options.holder, leases }
    const appended = await this.options.appender.appendRecord({ id: makeId('renew'), data })
    if (!appended.ok) return
    await this.options.stream.waitUntil(() => this.options.stream.position > appended.value, LEASE_TTL_MS)
    // Only a renewal that the log has ruled in our favour extends the lease.
    for (const [cell, lease] of Object.entries(leases)) {
      const current = this.options.stream.fold.findLease(cell)
      if (current?.offset === lease && current.renewal >= appended.value) this.holdLease(cell, lease, sentAtMs)
    }
  }

  private holdLease (cell: string, lease: number, sentAtMs: number): void {
    this.held = new Map(this.held).set(cell, { lease, validUntilMs: sentAtMs + LEASE_TTL_MS })
  }

  /** Whether a cell may be taken; daemons try one after another, in an order that differs from cell to cell. */
  private isFree (cell: string, lease: Lease | undefined): boolean {
    const now = this.options.clock.readMonotonicMs()
    const renewal = lease?.renewal ?? -1
    const observed = this.observations.get(cell)
    if (observed?.renewal !== renewal) {
      this.observations.set(cell, { renewal, seenAtMs: now })
      return false
    }
    const isGivenUp = lease === undefined || lease.holder === ''
    const waitMs = (isGivenUp ? 0 : LEASE_TTL_MS + TAKEOVER_MARGIN_MS) + this.rankFor(cell) * RANK_STEP_MS
    return now - observed.seenAtMs > waitMs
  }

  private rankFor (cell: string): number {
    const own = readDaemonOf(this.options.holder)
    const daemons = this.options.membership.listVms('daemon').filter((vm) => !this.options.membership.isLeaving(vm.id)).map((vm) => vm.id)
    const ranked = daemons.map((id) => ({ id, place: hashText(`${cell}/${id}`) })).sort((a, b) => a.place < b.place ? -1 : 1)
    const rank = ranked.findIndex((entry) => entry.id === own)
    return rank < 0 ? ranked.length : rank
  }

  private async takeLease (cell: string): Promise<void> {
    const current = this.options.stream.fold.findLease(cell)
    const sentAtMs = this.options.clock.readMonotonicMs()
    const data: LeaseData = { type: 'lease', cell, holder: this.options.holder, previous: current?.offset ?? -1, seenRenewal: current?.renewal ?? -1 }
    const appended = await this.options.appender.appendRecord({ id: makeId('lease'), data })
    if (!appended.ok) return
    await this.options.stream.waitUntil(() => this.options.stream.position > appended.value, LEASE_TTL_MS)
    if (this.options.stream.fold.findLease(cell)?.offset !== appended.value) return
    this.holdLease(cell, appended.value, sentAtMs)
    this.lastRenewAtMs = sentAtMs
    this.options.logger.info('lease taken', { cell, lease: appended.value })
  }
}
