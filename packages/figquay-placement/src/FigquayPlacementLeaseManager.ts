/** Acquires, renews and releases leases on cells: groups of runners that one daemon at a time sends orders to. */
import { hashText, makeId, type Clock, type Logger } from 'figquay'
import type { StreamReplica, LogAppender } from 'figquay-log'
import type { Membership } from 'figquay-membership'
import type { Lease, LeaseData, PlacementStateMachine, ReleaseData, RenewData } from './FigquayPlacementStateMachine.js'

/** Dependencies of the lease manager. */
export interface LeaseManagerOptions {
  /** `daemon/incarnation`. */
  readonly holder: string
  readonly stream: StreamReplica<PlacementStateMachine>
  readonly appender: LogAppender
  readonly membership: Membership
  readonly clock: Clock
  readonly logger: Logger
}

/** A lease expires this long after its last renewal was sent. */
export const LEASE_TTL_MS = 4_000
const RENEW_INTERVAL_MS = 1_300
/** Extra wait before the takeover of an expired lease, as the clocks of daemons run at different rates. */
const TAKEOVER_MARGIN_MS = 600
/** Extra wait for each rank, so that daemons attempt a takeover one after another. */
const TAKEOVER_RANK_DELAY_MS = 250
/** No order is sent when the lease expires within this time. */
const MIN_REMAINING_LEASE_MS = 400

interface HeldLease {
  readonly offset: number
  /** Monotonic time until which no other daemon can hold the lease. */
  readonly validUntilMs: number
}

interface ObservedRenewal {
  readonly renewal: number
  readonly firstSeenAtMs: number
}

/**
 * Returns the daemon id in a holder id, `daemon/incarnation`.
 *
 * @example
 * parseDaemonId('daemon-3/1f2e') // 'daemon-3'
 */
export function parseDaemonId (holder: string): string {
  return holder.split('/')[0]!
}

/** Manages the leases of one daemon. */
export class LeaseManager {
  private heldLeases: ReadonlyMap<string, HeldLease> = new Map()
  private readonly observedRenewals = new Map<string, ObservedRenewal>()
  private lastRenewAtMs = Number.NEGATIVE_INFINITY
  private isReleasing = false

  private constructor (private readonly options: LeaseManagerOptions) {}

  /**
   * @example
   * const leases = LeaseManager.create(options)
   */
  static create (options: LeaseManagerOptions): LeaseManager {
    return new LeaseManager(options)
  }

  /** Lists the cells whose lease this daemon holds according to the log, expired or not. */
  listHeldCells (): string[] {
    return [...this.heldLeases.keys()].filter((cell) => this.findHeldLease(cell) !== undefined)
  }

  /** Finds the offset of this daemon's lease on a cell; undefined if the log names another holder. */
  findHeldLease (cell: string): number | undefined {
    const held = this.heldLeases.get(cell)
    const current = this.options.stream.stateMachine.findLease(cell)
    return held !== undefined && current?.offset === held.offset && current.holder === this.options.holder ? held.offset : undefined
  }

  /** Whether the lease remains valid for long enough to send an order. */
  isLeaseValid (cell: string): boolean {
    const held = this.heldLeases.get(cell)
    return held !== undefined && this.findHeldLease(cell) !== undefined &&
      this.options.clock.readMonotonicMs() + MIN_REMAINING_LEASE_MS < held.validUntilMs
  }

  /** Finds the daemon that holds the lease on a cell according to the log. */
  findHolder (cell: string): string | undefined {
    const holder = this.options.stream.stateMachine.findLease(cell)?.holder
    return holder === undefined || holder === '' ? undefined : parseDaemonId(holder)
  }

  /**
   * Renews the held leases and acquires those that are available.
   *
   * @example
   * await leases.maintainLeases(['manual-assistant'])
   */
  async maintainLeases (cells: readonly string[]): Promise<void> {
    if (!this.options.stream.hasCaughtUp || this.isReleasing) return
    this.dropLostLeases()
    await this.renewHeldLeases()
    for (const cell of cells) {
      if (!this.heldLeases.has(cell) && this.isAvailable(cell, this.options.stream.stateMachine.findLease(cell))) await this.acquireLease(cell)
    }
  }

  /** Releases all leases, so that other daemons needn't wait until they expire. */
  async releaseAll (): Promise<void> {
    this.isReleasing = true
    const leases = Object.fromEntries([...this.heldLeases].map(([cell, held]) => [cell, held.offset]))
    this.heldLeases = new Map()
    if (Object.keys(leases).length === 0) return
    const data: ReleaseData = { type: 'release', holder: this.options.holder, leases }
    await this.options.appender.appendRecord({ id: makeId('release'), data })
  }

  private dropLostLeases (): void {
    const remainingLeases = [...this.heldLeases].filter(([cell]) => this.findHeldLease(cell) !== undefined)
    if (remainingLeases.length < this.heldLeases.size) this.options.logger.warn('lease lost', { held: remainingLeases.map(([cell]) => cell) })
    this.heldLeases = new Map(remainingLeases)
  }

  private async renewHeldLeases (): Promise<void> {
    const sentAtMs = this.options.clock.readMonotonicMs()
    if (this.heldLeases.size === 0 || sentAtMs - this.lastRenewAtMs < RENEW_INTERVAL_MS) return
    this.lastRenewAtMs = sentAtMs
    const leases = Object.fromEntries([...this.heldLeases].map(([cell, held]) => [cell, held.offset]))
    const data: RenewData = { type: 'renew', holder: this.options.holder, leases }
    const appended = await this.options.appender.appendRecord({ id: makeId('renew'), data })
    if (!appended.ok) return
    await this.options.stream.waitUntil(() => this.options.stream.position > appended.value, LEASE_TTL_MS)
    // Extend the lease only if the state machine has accepted this renewal: a takeover may have come before it.
    for (const [cell, leaseOffset] of Object.entries(leases)) {
      const current = this.options.stream.stateMachine.findLease(cell)
      if (current?.offset === leaseOffset && current.renewal >= appended.value) this.setHeldLease(cell, leaseOffset, sentAtMs)
    }
  }

  private setHeldLease (cell: string, offset: number, sentAtMs: number): void {
    this.heldLeases = new Map(this.heldLeases).set(cell, { offset, validUntilMs: sentAtMs + LEASE_TTL_MS })
  }

  /**
   * Whether the lease on a cell may be acquired: released, or not renewed for longer than its lifetime. Daemons attempt
   * it one after another, in an order that differs between cells.
   */
  private isAvailable (cell: string, lease: Lease | undefined): boolean {
    const nowMs = this.options.clock.readMonotonicMs()
    const renewal = lease?.renewal ?? -1
    const observed = this.observedRenewals.get(cell)
    if (observed?.renewal !== renewal) {
      this.observedRenewals.set(cell, { renewal, firstSeenAtMs: nowMs })
      return false
    }
    const isReleased = lease === undefined || lease.holder === ''
    const waitMs = (isReleased ? 0 : LEASE_TTL_MS + TAKEOVER_MARGIN_MS) + this.computeTakeoverRank(cell) * TAKEOVER_RANK_DELAY_MS
    return nowMs - observed.firstSeenAtMs > waitMs
  }

  /** Rank of this daemon for a cell among the live daemons, by rendezvous hashing. */
  private computeTakeoverRank (cell: string): number {
    const ownId = parseDaemonId(this.options.holder)
    const daemons = this.options.membership.listVms('daemon').filter((vm) => !this.options.membership.isLeaving(vm.id)).map((vm) => vm.id)
    const ranked = daemons.map((id) => ({ id, hash: hashText(`${cell}/${id}`) })).sort((a, b) => a.hash < b.hash ? -1 : 1)
    const rank = ranked.findIndex((entry) => entry.id === ownId)
    return rank < 0 ? ranked.length : rank
  }

  private async acquireLease (cell: string): Promise<void> {
    const current = this.options.stream.stateMachine.findLease(cell)
    const sentAtMs = this.options.clock.readMonotonicMs()
    const data: LeaseData = { type: 'lease', cell, holder: this.options.holder, previous: current?.offset ?? -1, seenRenewal: current?.renewal ?? -1 }
    const appended = await this.options.appender.appendRecord({ id: makeId('lease'), data })
    if (!appended.ok) return
    await this.options.stream.waitUntil(() => this.options.stream.position > appended.value, LEASE_TTL_MS)
    if (this.options.stream.stateMachine.findLease(cell)?.offset !== appended.value) return
    this.setHeldLease(cell, appended.value, sentAtMs)
    this.lastRenewAtMs = sentAtMs
    this.options.logger.info('lease acquired', { cell, lease: appended.value })
  }
}
