/** Records by which daemons discover each other, and their return to a store that has lost them. */
import { hashText, type Clock, type Logger } from 'figquay'
import type { FleetStore, SharedWrite } from 'figquay-fleet'
import type { ProcessorCores } from './FigquayServingTopology.js'

/** Options of the records. */
export interface DaemonRecordsOptions {
  readonly clock: Clock
  readonly logger: Logger
  readonly store: Pick<FleetStore, 'writeRecords'>
  /** Whether this daemon is the leader, which alone writes lost records, and follows the shared records. */
  readonly canRestore: () => boolean
}

/** Key prefix of the records that name a daemon's data centre. */
export const DAEMON_KEY_PREFIX = 'daemon/'
/** Key prefix of the records that name a daemon's processor cores; older releases ignore them. */
export const PROCESSOR_KEY_PREFIX = 'daemon-processor/'
/** Length of a digest in hexadecimal digits. */
const DIGEST_LENGTH = 8
/** A daemon that the store doesn't list is written after this time, in milliseconds: one that has just started writes its record itself. */
const RESTORE_DELAY_MS = 1_500

/** Daemons as they are told to a peer. */
export interface DaemonList {
  /** Data centre of each daemon, by address; empty if the peer has the same list. */
  readonly daemons: ReadonlyArray<readonly [address: string, zone: string]>
  /** Processor cores of the daemons, by address; missing from a daemon of an older release, and if the peer has the same list. */
  readonly processors?: ReadonlyArray<readonly [address: string, cores: number]>
}

/**
 * Makes the records of a daemon.
 *
 * @param cores Processor cores of its VM; unknown if undefined.
 * @example
 * await store.writeRecords(makeDaemonRecords('10.0.0.1:80', 'a', 1.35))
 */
export function makeDaemonRecords (address: string, zone: string | undefined, cores: number | undefined): SharedWrite[] {
  const record = { key: `${DAEMON_KEY_PREFIX}${address}`, value: zone }
  return cores === undefined ? [record] : [record, { key: `${PROCESSOR_KEY_PREFIX}${address}`, value: String(cores) }]
}

/** Data centre and processor of each known daemon, by address. */
export class DaemonRecords {
  private readonly zones = new Map<string, string>()
  private readonly cores = new Map<string, number>()
  private cachedDigest: string | undefined
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

  /** Processor cores of the daemons that have told them, by address. */
  get processorCores (): ProcessorCores {
    return this.cores
  }

  /** Digest of the list, by which two daemons tell whether theirs are alike. */
  get digest (): string {
    this.cachedDigest ??= hashText(JSON.stringify([[...this.zones].sort(), [...this.cores].sort()])).slice(0, DIGEST_LENGTH)
    return this.cachedDigest
  }

  /** Makes the list for a peer; an empty one if the peer has sent the digest of this daemon's. */
  makeList (peerDigest: string | undefined): DaemonList {
    return peerDigest === this.digest ? { daemons: [] } : { daemons: [...this.zones], processors: [...this.cores] }
  }

  /** Whether daemons are known that the store doesn't list, as far as this daemon has read it. */
  get hasUnlisted (): boolean {
    return this.unlistedSinceMs.size > 0
  }

  /** Applies a record of the store; an undefined value means that it was deleted. */
  applyRecord (key: string, zone: string | undefined): void {
    const address = key.slice(DAEMON_KEY_PREFIX.length)
    this.unlistedSinceMs.delete(address)
    this.cachedDigest = undefined
    if (zone !== undefined) {
      this.zones.set(address, zone)
      return
    }
    this.zones.delete(address)
    this.cores.delete(address)
  }

  /** Applies a record of a daemon's processor. */
  applyProcessorRecord (key: string, value: string | undefined): void {
    this.cachedDigest = undefined
    const cores = Number(value)
    if (value !== undefined && cores > 0) this.cores.set(key.slice(PROCESSOR_KEY_PREFIX.length), cores)
  }

  /** Adds what a peer knows; returns whether any of it is new here. */
  addDaemons ({ daemons, processors = [] }: DaemonList): boolean {
    const added = daemons.filter(([address]) => !this.zones.has(address))
    for (const [address, zone] of added) {
      this.zones.set(address, zone)
      this.unlistedSinceMs.set(address, this.options.clock.readMonotonicMs())
    }
    const addedCores = processors.filter(([address, cores]) => cores > 0 && !this.cores.has(address))
    for (const [address, cores] of addedCores) this.cores.set(address, cores)
    const hasChanged = added.length + addedCores.length > 0
    if (hasChanged) this.cachedDigest = undefined
    return hasChanged
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
    const result = await store.writeRecords(lost.flatMap((address) => makeDaemonRecords(address, this.zones.get(address), this.cores.get(address))))
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
