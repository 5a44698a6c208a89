/**
 * Elects the leader: the daemon that sends orders to the runners. A daemon becomes the leader by a conditional write to
 * the platform's store; the position of its record yields its fencing token, which the record holds, too, as a restore of
 * the store moves records. It remains the leader as long as its peers hear from it.
 */
import { setBounded, type Clock, type Logger } from 'figquay'
import { readEra, readOffset, type LogPosition } from './FigquayFleetLogPosition.js'
import type { FleetStore } from './FigquayFleetPlatform.js'

/** The daemon that sends orders to the runners; `daemon` is empty while there is none. */
export interface Leader {
  readonly daemon: string
  readonly fence: number
}

/** The store's record that names the leader. */
interface LeaderRecord {
  readonly daemon: string
  /** Process that the leader runs as. */
  readonly boot: string
  /** Fencing token; missing in records of a release that knows no eras, which takes the offset for it. */
  readonly fence?: number
}

/** Options of the leader election. */
export interface LeadershipOptions {
  readonly self: string
  /** Distinguishes this process from earlier ones at the same address. */
  readonly bootId: string
  readonly store: FleetStore
  readonly clock: Clock
  readonly logger: Logger
  /** Peers that are connected now. */
  readonly listConnected: () => readonly string[]
  /** Processor cores that this daemon has, fractions included; undefined if unknown. */
  readonly processorCores?: number
  /** Invites a daemon of a strong VM to take over from this leader; returns whether it accepts. */
  readonly callSuccessor?: (daemon: string, fence: number) => Promise<boolean>
  /** Whether this daemon follows the store closely enough to become the leader. */
  readonly isEligible: () => boolean
}

/** Key of the store's record that names the leader. */
export const LEADER_KEY = 'holder'
/** A leader is replaced this long after its connection has closed or timed out, in milliseconds. */
const LEADER_GRACE_MS = 500
/** Delay between the attempts of two candidates to become the leader, in milliseconds: longer than a write to the store takes. */
const CANDIDATE_STAGGER_MS = 250
/** A daemon without any processor time would wait for this long before it tries to become the leader, in milliseconds; one with a whole core doesn't wait. */
const MAX_WEAK_CANDIDATE_DELAY_MS = 1_000
/** Fraction of the delay between attempts that applies to daemons with a whole core or more. */
const STRONG_STAGGER_FRACTION = 0.3
/** Daemons of strong VMs that are remembered: more than a fleet has. */
const MAX_STRONG_PEERS = 1_000
/** Processor cores from which on a VM is strong enough for a leader of many runners. */
const STRONG_CORES = 1
/** A leader without them looks for a successor at this interval, in milliseconds. */
const INVITATION_INTERVAL_MS = 30_000
/** A peer whose last report is older than this isn't invited, in milliseconds: several report intervals. */
const MAX_REPORT_AGE_MS = 1_500
/** An invitation is valid for this long, in milliseconds: the successor reads the store first. */
const INVITATION_TTL_MS = 1_800
/** A leader whose invitation was accepted sends no orders for this long, in milliseconds, unless it is replaced sooner. */
const HANDOVER_TIMEOUT_MS = 2_000
/** A leader that has not refreshed for this long was suspended or is overloaded, in milliseconds: several refresh intervals. */
const STALL_THRESHOLD_MS = 400
/**
 * A leader that can't read the store counts as confirmed if no peer has named another leader within this time, in
 * milliseconds: their next messages arrive sooner.
 */
const CONFIRM_TIMEOUT_MS = 1_000
/** A leader without half of its peers checks the store for a newer leader this often, in milliseconds. */
const CONFIRM_INTERVAL_MS = 1_000
/** A leader is not replaced by another daemon for this long, in milliseconds: daemons that alternate faster give conflicting orders. */
const MIN_TERM_MS = 4_000
/** A new leader sends no orders for this long, in milliseconds: its predecessor learns of the change meanwhile. */
const HANDOVER_DELAY_MS = 600
/** A daemon that knows of no leader looks for peers for this long before it tries to become one, in milliseconds. */
const STARTUP_GRACE_MS = 400

/** Tracks which daemon is the leader, and makes this one the leader if there is none. */
export class FleetLeadership {
  private current: Leader | undefined
  private leaderAbsentSinceMs: number
  /** Position after the last shared record that this daemon knows of. */
  private recordsEnd: LogPosition = 0
  /** Another record was written meanwhile; the records have to be read before the next attempt. */
  private isRecordsEndStale = false
  /** Token under which peers take this daemon for the leader: of an earlier process here, or of a write whose response was lost. */
  private claimedFencingToken: number | undefined
  /** Whether the last leader was an earlier process at this address. */
  private isVacatedByRestart = false
  /** Daemons of strong VMs, and the time of their last report, in milliseconds. */
  private readonly strongPeers = new Map<string, number>()
  private invitedAtMs = Number.NEGATIVE_INFINITY
  private ordersSuspendedUntilMs = Number.NEGATIVE_INFINITY
  /** The leader that has invited this daemon to take over. */
  private invitation: { readonly fence: number, readonly untilMs: number } | undefined
  private leaderChangedAtMs = Number.NEGATIVE_INFINITY
  /** Time since which this daemon has followed the store closely enough to become the leader. */
  private eligibleSinceMs: number
  private lastRefreshAtMs = Number.NEGATIVE_INFINITY
  /** Time since which this leader may have been replaced without knowing it; undefined while it is confirmed. */
  private unconfirmedSinceMs: number | undefined
  private ordersAllowedAtMs = Number.NEGATIVE_INFINITY
  private confirmedAtMs = Number.NEGATIVE_INFINITY
  /** Largest number of peers that were connected at once. */
  private maxConnectedPeers = 0

  private constructor (private readonly options: LeadershipOptions) {
    this.leaderAbsentSinceMs = options.clock.readMonotonicMs()
    this.eligibleSinceMs = this.leaderAbsentSinceMs
  }

  /**
   * @example
   * const leadership = FleetLeadership.create(options)
   */
  static create (options: LeadershipOptions): FleetLeadership {
    return new FleetLeadership(options)
  }

  /** The leader, if one is known. */
  get leader (): Leader | undefined {
    return this.current
  }

  /** Whether this daemon is the leader, as far as it knows. */
  get isLeader (): boolean {
    return this.current?.daemon === this.options.self
  }

  /**
   * Fencing token for orders that this daemon may send now. It is undefined while another daemon is the leader, and while
   * this one can't know whether another sends orders too: after it was suspended or overloaded, or has just taken over.
   * Engines that ignore fencing tokens rely on this check alone.
   */
  get fencingToken (): number | undefined {
    const nowMs = this.options.clock.readMonotonicMs()
    const isConfirmed = this.unconfirmedSinceMs === undefined && nowMs - this.lastRefreshAtMs <= STALL_THRESHOLD_MS && nowMs >= Math.max(this.ordersAllowedAtMs, this.ordersSuspendedUntilMs)
    return this.isLeader && isConfirmed ? this.current?.fence : undefined
  }

  /**
   * Sets the leader, as read from the store or reported by a peer; one with an older fencing token is ignored.
   *
   * @example
   * leadership.updateLeader({ daemon: 'daemon-2', fence: 41 })
   */
  updateLeader (leader: Leader): void {
    if (this.current !== undefined && leader.fence <= this.current.fence) return
    const nowMs = this.options.clock.readMonotonicMs()
    const isHandover = this.current !== undefined && this.current.daemon !== '' && this.current.daemon !== leader.daemon
    this.current = leader
    this.leaderAbsentSinceMs = nowMs
    this.leaderChangedAtMs = nowMs
    this.lastRefreshAtMs = nowMs
    this.unconfirmedSinceMs = undefined
    this.ordersAllowedAtMs = isHandover ? nowMs + HANDOVER_DELAY_MS : nowMs
    this.options.logger.info('holder of the runners changed', { holder: leader.daemon, fence: leader.fence })
  }

  /**
   * Applies the store's record that names the leader. There is none if it names an earlier process at this address.
   *
   * @example
   * leadership.applyLeaderRecord(record.value, record.position)
   */
  applyLeaderRecord (text: string, position: LogPosition): void {
    const { daemon, boot, fence = readOffset(position) + 1 } = JSON.parse(text) as LeaderRecord
    const isOwnProcess = boot === this.options.bootId
    // After a restore, another daemon may have been the leader since: records of it may be lost.
    const isOfOlderEra = readEra(fence) < readEra(position)
    const isVacant = daemon === this.options.self && (!isOwnProcess || isOfOlderEra)
    this.updateLeader({ daemon: isVacant ? '' : daemon, fence })
    if (this.current?.fence === fence && !this.isLeader) this.isVacatedByRestart = isVacant && (isOwnProcess || !isOfOlderEra)
  }

  /** Applies the leader that a peer reports. That this daemon is the leader itself is taken from the store only. */
  applyPeerLeader (leader: Leader): void {
    if (leader.daemon !== this.options.self) this.updateLeader(leader)
    else if (leader.fence > (this.current?.fence ?? 0)) this.claimedFencingToken = leader.fence
  }

  /** Whether this daemon has to read the store, as peers take it for the leader under a newer token than it knows of. */
  get mustReadStore (): boolean {
    return this.claimedFencingToken !== undefined && this.claimedFencingToken > (this.current?.fence ?? 0)
  }

  /** Whether the last leader was an earlier process at this address; no other daemon takes over while this one is connected. */
  get isRestartedLeader (): boolean {
    return this.current?.daemon === '' && this.isVacatedByRestart
  }

  /** Whether a conditional write has shown that the store holds records that this daemon hasn't read. */
  get lacksRecords (): boolean {
    return this.isRecordsEndStale
  }

  /** Updates the end of the shared records, for conditional writes. */
  updateRecordsEnd (end: LogPosition): void {
    this.recordsEnd = Math.max(this.recordsEnd, end)
    this.isRecordsEndStale = false
  }

  /** Gives up leadership, as a runner has seen a newer fencing token than this daemon's. */
  stepDown (reason: string): void {
    if (!this.isLeader) return
    this.options.logger.warn('stepped down as leader', { fence: this.current!.fence, reason })
    this.current = { daemon: '', fence: this.current!.fence }
    this.leaderAbsentSinceMs = this.options.clock.readMonotonicMs()
  }

  /**
   * Confirms this daemon's leadership, or acquires it if the leader has been absent for long enough; called periodically.
   *
   * @example
   * await leadership.refresh()
   */
  async refresh (): Promise<void> {
    const { clock, listConnected, self } = this.options
    const nowMs = clock.readMonotonicMs()
    if (this.isLeader) {
      await this.confirmLeadership(nowMs)
      await this.renewToken()
      await this.requestHandover(nowMs)
      return
    }
    if (this.isInvited) {
      if (!this.isRecordsEndStale && this.options.isEligible()) await this.acquireLeadership()
      return
    }
    const connected = listConnected()
    if (this.current !== undefined && connected.includes(this.current.daemon)) {
      this.leaderAbsentSinceMs = nowMs
      return
    }
    const isEligible = this.options.isEligible()
    if (!isEligible) this.eligibleSinceMs = nowMs
    if (this.isRecordsEndStale || !isEligible) return
    if (this.isRestartedLeader) {
      await this.acquireLeadership()
      return
    }
    if (nowMs - this.leaderChangedAtMs < MIN_TERM_MS) return
    const candidates = [...connected, self].sort()
    const graceMs = this.current === undefined ? STARTUP_GRACE_MS : LEADER_GRACE_MS
    if (nowMs - this.leaderAbsentSinceMs < graceMs + this.computeRankDelay(candidates.indexOf(self)) + this.weakCandidateDelayMs) return
    // Daemons that start follow the store only after the grace is over: strong ones come first then, too.
    if (nowMs - this.eligibleSinceMs < this.weakCandidateDelayMs) return
    await this.acquireLeadership()
  }

  /** Records that a peer has reported with the processor of its VM. */
  notePeerProcessor (daemon: string, cores: number): void {
    if (cores >= STRONG_CORES) setBounded(this.strongPeers, daemon, this.options.clock.readMonotonicMs(), MAX_STRONG_PEERS)
  }

  /**
   * Handles the invitation of a leader to take over from it; returns whether this daemon accepts.
   *
   * @example
   * leadership.handleInvitation(41)
   */
  handleInvitation (fence: number): boolean {
    if (this.isLeader || this.current?.fence !== fence || (this.options.processorCores ?? 0) < STRONG_CORES) return false
    this.invitation = { fence, untilMs: this.options.clock.readMonotonicMs() + INVITATION_TTL_MS }
    return true
  }

  /** Whether the leader has invited this daemon to take over: it has to read the store for that. */
  get isInvited (): boolean {
    return this.invitation !== undefined && this.invitation.fence === this.current?.fence && this.options.clock.readMonotonicMs() < this.invitation.untilMs
  }

  /** The leader of a weak VM hands over to a daemon of a strong one that reports to it; from then on it sends no orders. */
  private async requestHandover (nowMs: number): Promise<void> {
    const { processorCores = STRONG_CORES, callSuccessor, logger } = this.options
    if (processorCores >= STRONG_CORES || callSuccessor === undefined || nowMs - this.leaderChangedAtMs < MIN_TERM_MS || nowMs - this.invitedAtMs < INVITATION_INTERVAL_MS || this.fencingToken === undefined) return
    const [successor] = [...this.strongPeers].filter(([, reportedAtMs]) => nowMs - reportedAtMs <= MAX_REPORT_AGE_MS).map(([daemon]) => daemon).sort()
    if (successor === undefined) return
    const fence = this.current!.fence
    this.invitedAtMs = nowMs
    this.ordersSuspendedUntilMs = nowMs + HANDOVER_TIMEOUT_MS
    const isAccepted = await callSuccessor(successor, fence)
    this.lastRefreshAtMs = this.options.clock.readMonotonicMs()
    if (!isAccepted) this.ordersSuspendedUntilMs = Number.NEGATIVE_INFINITY
    logger.info('leader invites a daemon of a stronger VM to take over', { successor, fence, isAccepted, processorCores })
  }

  /** Time for which this daemon leaves it to strong VMs to become the leader, in milliseconds, as the leader has more to do than others. */
  private get weakCandidateDelayMs (): number {
    return Math.max(0, STRONG_CORES - (this.options.processorCores ?? STRONG_CORES)) * MAX_WEAK_CANDIDATE_DELAY_MS
  }

  private computeRankDelay (rank: number): number {
    const isStrong = (this.options.processorCores ?? 0) >= STRONG_CORES
    return rank * CANDIDATE_STAGGER_MS * (isStrong ? STRONG_STAGGER_FRACTION : 1)
  }

  /**
   * Checks the store for a newer leader after this one was suspended, or while it lacks half of its peers. If the store
   * can't be read, it relies on its peers.
   */
  private async confirmLeadership (nowMs: number): Promise<void> {
    const { store, logger } = this.options
    const hasStalled = nowMs - this.lastRefreshAtMs > STALL_THRESHOLD_MS
    if (this.unconfirmedSinceMs === undefined && (hasStalled || (!this.hasHalfOfPeersConnected() && nowMs - this.confirmedAtMs >= CONFIRM_INTERVAL_MS))) {
      this.unconfirmedSinceMs = nowMs
      logger.info('leader checks whether it was replaced', { fence: this.current?.fence, heldUpMs: Math.round(nowMs - this.lastRefreshAtMs), peersHeard: this.options.listConnected().length, peersBefore: this.maxConnectedPeers })
    }
    this.lastRefreshAtMs = nowMs
    const unconfirmedSinceMs = this.unconfirmedSinceMs
    if (unconfirmedSinceMs === undefined) return
    const reading = await store.readShared(this.recordsEnd - 1, 0, AbortSignal.timeout(CONFIRM_TIMEOUT_MS))
    if (reading.ok) {
      for (const { key, value, position } of reading.value.records) {
        if (key === LEADER_KEY && value !== undefined) this.applyLeaderRecord(value, position)
      }
      this.updateRecordsEnd(reading.value.end)
      this.confirmedAtMs = this.options.clock.readMonotonicMs()
    }
    this.lastRefreshAtMs = this.options.clock.readMonotonicMs()
    const isConfirmedByPeers = this.hasHalfOfPeersConnected() && this.lastRefreshAtMs - unconfirmedSinceMs >= CONFIRM_TIMEOUT_MS
    if (this.isLeader && (reading.ok || isConfirmedByPeers)) this.unconfirmedSinceMs = undefined
  }

  /** After a restore of the store, the leader's record may be lost, and daemons that start would not know of it. */
  private async renewToken (): Promise<void> {
    if (!this.isLeader || this.isRecordsEndStale || readEra(this.recordsEnd) <= readEra(this.current!.fence)) return
    this.options.logger.info('leader renews its fencing token, as the store was restored', { fence: this.current!.fence, era: readEra(this.recordsEnd) })
    await this.acquireLeadership()
  }

  /** Whether at least half of the peers are connected; they would report another leader. */
  private hasHalfOfPeersConnected (): boolean {
    const connected = this.options.listConnected().length
    this.maxConnectedPeers = Math.max(this.maxConnectedPeers, connected)
    return connected * 2 >= this.maxConnectedPeers
  }

  private async acquireLeadership (): Promise<void> {
    const { self, bootId, store, logger } = this.options
    const expectedEnd = this.recordsEnd
    const record: LeaderRecord = { daemon: self, boot: bootId, fence: expectedEnd + 1 }
    const writeResult = await store.writeShared(LEADER_KEY, JSON.stringify(record), expectedEnd)
    if (!writeResult.ok) {
      logger.debug('could not acquire leadership', { error: writeResult.error.message })
      return
    }
    if (writeResult.value.type === 'overtaken') {
      this.isRecordsEndStale = true
      return
    }
    this.updateRecordsEnd(writeResult.value.position + 1)
    this.updateLeader({ daemon: self, fence: writeResult.value.position + 1 })
  }
}
