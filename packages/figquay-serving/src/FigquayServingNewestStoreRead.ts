/** Newest read of the store that a daemon knows of, by itself or by another daemon. */
import type { Clock } from 'figquay'

/** A read of the store as daemons tell each other; the fields are part of their messages. */
export interface StoreReadReport {
  /** Time since the read, in milliseconds. */
  readonly storeAgeMs: number
  /** Identifies the read; missing from a daemon that doesn't name reads. */
  readonly storeRead?: string
}

/** Makes the name of a read by a daemon's process. */
export function makeReadName (bootId: string, serial: number): string {
  return `${bootId}/${serial}`
}

/** Whether a read was made by a daemon's process. */
export function isReadBy (storeRead: string | undefined, bootId: string): boolean {
  return storeRead?.startsWith(`${bootId}/`) ?? false
}

/** Age that daemons report while they know of no read, in milliseconds: JSON can't represent infinity. */
const UNKNOWN_AGE_MS = Number.MAX_SAFE_INTEGER

/**
 * Keeps the newest read. A report doesn't say how long it was under way, so a read that daemons tell each other in circles
 * would seem ever newer; each read is identified, and dated by the oldest report of it.
 */
export class NewestStoreRead {
  private atMs = Number.NEGATIVE_INFINITY
  private id: string | undefined

  private constructor (private readonly clock: Clock) {}

  /**
   * @example
   * const newest = NewestStoreRead.create(clock)
   */
  static create (clock: Clock): NewestStoreRead {
    return new NewestStoreRead(clock)
  }

  /** Time since the read, in milliseconds; infinite if none is known. */
  get ageMs (): number {
    return this.clock.readMonotonicMs() - this.atMs
  }

  /** Whether the read is one of a daemon's process. */
  isBy (bootId: string): boolean {
    return isReadBy(this.id, bootId)
  }

  /** The read as other daemons are told of it. */
  get report (): StoreReadReport {
    return { storeAgeMs: Math.min(Math.round(this.ageMs), UNKNOWN_AGE_MS), storeRead: this.id }
  }

  /**
   * Notes a read that was reported.
   *
   * @param reportedAtMs Monotonic time after which the report was made, in milliseconds.
   * @example
   * newest.noteReport({ storeAgeMs: 120, storeRead: 'boot-1/17' }, requestedAtMs)
   */
  noteReport ({ storeAgeMs, storeRead }: StoreReadReport, reportedAtMs = this.clock.readMonotonicMs()): void {
    if (!Number.isFinite(storeAgeMs) || storeAgeMs >= UNKNOWN_AGE_MS) return
    const atMs = reportedAtMs - Math.max(0, storeAgeMs)
    const isSameRead = storeRead !== undefined && storeRead === this.id
    if (isSameRead) this.atMs = Math.min(this.atMs, atMs)
    else if (atMs > this.atMs) {
      this.atMs = atMs
      this.id = storeRead
    }
  }

  /** Returns the newer one of two. */
  static selectNewer (a: NewestStoreRead, b: NewestStoreRead): NewestStoreRead {
    return a.atMs >= b.atMs ? a : b
  }
}
