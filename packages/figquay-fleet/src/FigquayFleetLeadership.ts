/**
 * Which daemon gives orders to the runners. The platform's store decides: the position of the record that names a
 * holder is its fencing number. A holder keeps its office for as long as others hear from it.
 */
import type { Clock, Logger } from 'figquay'
import type { FleetStore } from './FigquayFleetPlatform.js'

/** The daemon that gives orders. */
export interface Holder {
  readonly daemon: string
  readonly fence: number
}

/** What leadership needs. */
export interface LeadershipOptions {
  readonly self: string
  /** Tells this process from earlier ones at the same address. */
  readonly bootId: string
  readonly store: FleetStore
  readonly clock: Clock
  readonly logger: Logger
  /** Peers that can be reached now. */
  readonly listConnected: () => readonly string[]
  /** Whether this daemon follows the store closely enough to apply. */
  readonly mayApply: () => boolean
}

/** Key of the record that names the holder. */
export const HOLDER_KEY = 'holder'
/** A holder is replaced this long after its connection is gone or has been silent for too long, in milliseconds. */
const HOLDER_SILENCE_MS = 500
/** Daemons apply for the office this far apart, in milliseconds: longer than one write to the store takes. */
const RANK_STEP_MS = 250
/** A holder that has not come to look at itself for this long has slept or fallen behind, in milliseconds: several of its looks. */
const STALL_MS = 400
/** A holder in doubt that can't read the store trusts its peers' silence after this time, in milliseconds: their next words come sooner. */
const DOUBT_MS = 1_000
/** A holder that most of its peers don't hear asks the store this often whether another has been put in its place, in milliseconds. */
const CONFIRM_MS = 1_000
/** An office is taken from its holder this long after that one took it, in milliseconds: two that take turns sooner would contradict each other. */
const TENURE_MS = 4_000
/** A holder that takes over from another daemon gives no order for this long, in milliseconds: the other learns of it meanwhile. */
const HANDOVER_MS = 600
/** A daemon applies for a vacant office only after it has looked for peers for this long, in milliseconds. */
const SETTLE_MS = 400

/** Follows and takes the office. */
export class FleetLeadership {
  private current: Holder | undefined
  private vacantSinceMs: number
  private end = 0
  /** Another record has been written meanwhile: its reading comes before the next application. */
  private isEndOutdated = false
  /** Office that peers think this daemon holds: it was won by an earlier process here, or by a write whose answer was lost. */
  private claimedFence: number | undefined
  private isOwnVacancy = false
  private notedAtMs = Number.NEGATIVE_INFINITY
  private lastLookMs = Number.NEGATIVE_INFINITY
  /** Since when this holder can't be sure that it still is; undefined while it is. */
  private doubtSinceMs: number | undefined
  private mayOrderAtMs = Number.NEGATIVE_INFINITY
  private confirmedAtMs = Number.NEGATIVE_INFINITY
  /** Peers that were connected at once at most. */
  private mostConnected = 0

  private constructor (private readonly options: LeadershipOptions) {
    this.vacantSinceMs = options.clock.readMonotonicMs()
  }

  /**
   * @example
   * const leadership = FleetLeadership.create(options)
   */
  static create (options: LeadershipOptions): FleetLeadership {
    return new FleetLeadership(options)
  }

  /** The holder, if one is known. */
  get holder (): Holder | undefined {
    return this.current
  }

  /** Whether this daemon holds the office, as far as it knows. */
  get isHolder (): boolean {
    return this.current?.daemon === this.options.self
  }

  /**
   * Fencing number under which this daemon may give an order now; undefined while another holds the office, or while this
   * daemon has slept, fallen behind or just taken over and so can't know whether another gives orders too. Engines that
   * ignore fencing numbers rest on this alone.
   */
  get ownFence (): number | undefined {
    const nowMs = this.options.clock.readMonotonicMs()
    const isSure = this.doubtSinceMs === undefined && nowMs - this.lastLookMs <= STALL_MS && nowMs >= this.mayOrderAtMs
    return this.isHolder && isSure ? this.current?.fence : undefined
  }

  /**
   * Takes in who holds the office, from the store or a peer; an older record changes nothing.
   *
   * @example
   * leadership.noteHolder({ daemon: 'daemon-2', fence: 41 })
   */
  noteHolder (holder: Holder): void {
    if (this.current !== undefined && holder.fence <= this.current.fence) return
    const nowMs = this.options.clock.readMonotonicMs()
    const isFromOther = this.current !== undefined && this.current.daemon !== '' && this.current.daemon !== holder.daemon
    this.current = holder
    this.vacantSinceMs = nowMs
    this.notedAtMs = nowMs
    this.lastLookMs = nowMs
    this.doubtSinceMs = undefined
    this.mayOrderAtMs = isFromOther ? nowMs + HANDOVER_MS : nowMs
    this.options.logger.info('holder of the runners changed', { holder: holder.daemon, fence: holder.fence })
  }

  /**
   * Takes in the record that names the holder. An office held by an earlier process at this address is vacant.
   *
   * @example
   * leadership.noteRecord(record.value, record.position)
   */
  noteRecord (text: string, position: number): void {
    const { daemon, boot } = JSON.parse(text) as { readonly daemon: string, readonly boot: string }
    const isEarlierSelf = daemon === this.options.self && boot !== this.options.bootId
    const fence = position + 1
    this.noteHolder({ daemon: isEarlierSelf ? '' : daemon, fence })
    if (this.current?.fence === fence) this.isOwnVacancy = isEarlierSelf
  }

  /** Takes in what a peer believes; only the store can tell this daemon that it holds the office itself. */
  noteRumour (holder: Holder): void {
    if (holder.daemon !== this.options.self) this.noteHolder(holder)
    else if (holder.fence > (this.current?.fence ?? 0)) this.claimedFence = holder.fence
  }

  /** Whether the store's records must tell this daemon, which the peers take for the holder, what it is. */
  get mustAskStore (): boolean {
    return this.claimedFence !== undefined && this.claimedFence > (this.current?.fence ?? 0)
  }

  /** Whether an earlier process at this address held the office last: nobody else takes it while this daemon is heard. */
  get isHeir (): boolean {
    return this.current?.daemon === '' && this.isOwnVacancy
  }

  /** Notes where the shared records end, for conditional writes. */
  noteEnd (end: number): void {
    this.end = Math.max(this.end, end)
    this.isEndOutdated = false
  }

  /** Notes that a runner has seen a higher fencing number than this daemon's. */
  releaseOffice (reason: string): void {
    if (!this.isHolder) return
    this.options.logger.warn('no longer holder of the runners', { fence: this.current!.fence, reason })
    this.current = { daemon: '', fence: this.current!.fence }
    this.vacantSinceMs = this.options.clock.readMonotonicMs()
  }

  /**
   * Applies for the office when nobody has been heard in it for long enough; called again and again.
   *
   * @example
   * await leadership.refresh()
   */
  async refresh (): Promise<void> {
    const { clock, listConnected, self } = this.options
    const nowMs = clock.readMonotonicMs()
    if (this.isHolder) {
      await this.refreshOwn(nowMs)
      return
    }
    const connected = listConnected()
    if (this.current !== undefined && connected.includes(this.current.daemon)) {
      this.vacantSinceMs = nowMs
      return
    }
    if (this.isEndOutdated || !this.options.mayApply()) return
    if (this.isHeir) {
      await this.applyForOffice()
      return
    }
    if (nowMs - this.notedAtMs < TENURE_MS) return
    const candidates = [...connected, self].sort()
    const graceMs = this.current === undefined ? SETTLE_MS : HOLDER_SILENCE_MS
    if (nowMs - this.vacantSinceMs < graceMs + candidates.indexOf(self) * RANK_STEP_MS) return
    await this.applyForOffice()
  }

  /** A holder that slept, or that most of its peers don't hear, asks the store before it goes on; failing that, its peers. */
  private async refreshOwn (nowMs: number): Promise<void> {
    const { store, logger } = this.options
    const hasSlept = nowMs - this.lastLookMs > STALL_MS
    if (this.doubtSinceMs === undefined && (hasSlept || (!this.isHeard() && nowMs - this.confirmedAtMs >= CONFIRM_MS))) {
      this.doubtSinceMs = nowMs
      logger.info('holder of the runners asks whether it still is', { fence: this.current?.fence, heldUpMs: Math.round(nowMs - this.lastLookMs), peersHeard: this.options.listConnected().length, peersBefore: this.mostConnected })
    }
    this.lastLookMs = nowMs
    const doubtSinceMs = this.doubtSinceMs
    if (doubtSinceMs === undefined) return
    const reading = await store.readShared(this.end - 1, 0, AbortSignal.timeout(DOUBT_MS))
    if (reading.ok) {
      for (const { key, value, position } of reading.value.records) {
        if (key === HOLDER_KEY && value !== undefined) this.noteRecord(value, position)
      }
      this.noteEnd(reading.value.end)
      this.confirmedAtMs = this.options.clock.readMonotonicMs()
    }
    this.lastLookMs = this.options.clock.readMonotonicMs()
    const isHeardOf = this.isHeard() && this.lastLookMs - doubtSinceMs >= DOUBT_MS
    if (this.isHolder && (reading.ok || isHeardOf)) this.doubtSinceMs = undefined
  }

  /** Whether half of the peers at least hear this daemon: they would tell it of another holder. */
  private isHeard (): boolean {
    const connected = this.options.listConnected().length
    this.mostConnected = Math.max(this.mostConnected, connected)
    return connected * 2 >= this.mostConnected
  }

  private async applyForOffice (): Promise<void> {
    const { self, bootId, store, logger } = this.options
    const written = await store.writeShared(HOLDER_KEY, JSON.stringify({ daemon: self, boot: bootId }), this.end)
    if (!written.ok) {
      logger.debug('could not apply for the office', { error: written.error.message })
      return
    }
    if (written.value.type === 'overtaken') {
      this.isEndOutdated = true
      return
    }
    this.noteEnd(written.value.position + 1)
    this.noteHolder({ daemon: self, fence: written.value.position + 1 })
  }
}
