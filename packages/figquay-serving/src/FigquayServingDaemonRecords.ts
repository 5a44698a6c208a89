/** Records by which daemons discover each other, and their return to a store that has lost them. */
import type { Clock, Logger } from 'figquay'
import type { FleetStore } from 'figquay-fleet'

/** Options of the records. */
export interface DaemonRecordsOptions {
  readonly clock: Clock
  readonly logger: Logger
  readonly store: Pick<FleetStore, 'writeRecords'>
  /** Whether this daemon is the leader, which alone writes lost records, and follows the shared records. */
  readonly canRestore: () => boolean
}

/** Key prefix of these records. */
export const DAEMON_KEY_PREFIX = 'daemon/'
/** A daemon that the store doesn't list is written after this time, in milliseconds: one that has just started writes its record itself. */
const RESTORE_DELAY_MS = 1_500

/** Data centre of each known daemon, by address. */
export class DaemonRecords {
  private readonly zones = new Map<string, string>()
  /** Daemons that the store doesn't list, with the time since which that is known. */
  private readonly unlistedSinceMs = new Map<string, number>()
  private isWriting = false

  private constructor (private readonly options: DaemonRecordsOptions) {}

  /**
   * @example
   * const records = DaemonRecords.create(options)
   */
  static create (options: DaemonRecordsOptions): DaemonRecords {
    return new DaemonRecords(options)
  }

  /** Data centre of each known daemon, by address. */
  get daemons (): ReadonlyMap<string, string> {
    return this.zones
  }

  /** Whether daemons are known that the store doesn't list, as far as this daemon has read it. */
  get hasUnlisted (): boolean {
    return this.unlistedSinceMs.size > 0
  }

  /** Applies a record of the store; an undefined value means that it was deleted. */
  applyRecord (key: string, zone: string | undefined): void {
    const address = key.slice(DAEMON_KEY_PREFIX.length)
    this.unlistedSinceMs.delete(address)
    if (zone === undefined) this.zones.delete(address)
    else this.zones.set(address, zone)
  }

  /** Adds daemons that a peer knows; returns whether any of them is new here. */
  addDaemons (daemons: ReadonlyArray<readonly [address: string, zone: string]>): boolean {
    const added = daemons.filter(([address]) => !this.zones.has(address))
    for (const [address, zone] of added) {
      this.zones.set(address, zone)
      this.unlistedSinceMs.set(address, this.options.clock.readMonotonicMs())
    }
    return added.length > 0
  }

  /**
   * Records that the store has only these records. Others may have been lost with a restore, also before this daemon started.
   *
   * @example
   * records.replaceRecords(['daemon/10.0.0.1:80'])
   */
  replaceRecords (keys: readonly string[]): void {
    const listed = new Set(keys)
    const nowMs = this.options.clock.readMonotonicMs()
    for (const address of this.zones.keys()) {
      if (!listed.has(`${DAEMON_KEY_PREFIX}${address}`)) this.unlistedSinceMs.set(address, this.unlistedSinceMs.get(address) ?? nowMs)
    }
  }

  /** Writes the records that the store has lost, in one call; called periodically. */
  async flush (): Promise<void> {
    const { clock, logger, store, canRestore } = this.options
    if (this.isWriting || !canRestore()) return
    const nowMs = clock.readMonotonicMs()
    const lost = [...this.unlistedSinceMs].filter(([, sinceMs]) => nowMs - sinceMs >= RESTORE_DELAY_MS).map(([address]) => address)
    if (lost.length === 0) return
    this.isWriting = true
    const result = await store.writeRecords(lost.map((address) => ({ key: `${DAEMON_KEY_PREFIX}${address}`, value: this.zones.get(address) })))
    this.isWriting = false
    // A failed write is repeated after the delay.
    for (const address of lost) this.unlistedSinceMs.set(address, clock.readMonotonicMs())
    if (!result.ok) {
      logger.warn('could not write lost records of daemons to the store; retrying', { daemons: lost.length, error: result.error.message })
      return
    }
    logger.info('lost records of daemons written to the store again', { daemons: lost.length })
    for (const address of lost) this.unlistedSinceMs.delete(address)
  }
}
