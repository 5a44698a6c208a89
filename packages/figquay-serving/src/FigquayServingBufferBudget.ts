/**
 * Bounds the bytes that a daemon buffers for callers who read slowly. No clock, no I/O.
 *
 * Covers this load pattern: hundreds of callers that read a kilobyte a second. Runners cut off a response that isn't read for
 * some seconds, so a daemon reads ahead of its callers, but not beyond what its VM can hold.
 */

/** Bytes that may be buffered. */
export interface BufferLimits {
  readonly maxResponseBytes: number
  readonly maxTotalBytes: number
}

/** For one response 10,000 tokens of text; for all of them a thirteenth of the smallest VM, of 210 MB. */
const DEFAULT_LIMITS: BufferLimits = { maxResponseBytes: 262_144, maxTotalBytes: 16_777_216 }

/** Bytes that are buffered for one response. */
export interface HeldBytes {
  /** Adds bytes that were written; returns whether more may be written before they are taken. */
  add: (bytes: number) => boolean
  /** Removes bytes that the caller's connection has taken; returns whether more may be written. */
  remove: (bytes: number) => boolean
  /** Removes all bytes, as the response is over. */
  clear: () => void
}

/** Buffered bytes of all responses of a daemon. */
export class BufferBudget {
  private total = 0
  private highest = 0

  private constructor (private readonly limits: BufferLimits) {}

  /**
   * @example
   * const budget = BufferBudget.create()
   */
  static create (limits: BufferLimits = DEFAULT_LIMITS): BufferBudget {
    return new BufferBudget(limits)
  }

  /** Bytes that are buffered now. */
  get totalBytes (): number {
    return this.total
  }

  /** Most bytes that were ever buffered. */
  get highestBytes (): number {
    return this.highest
  }

  /**
   * Starts to count the bytes of a response.
   *
   * @example
   * const held = budget.openResponse()
   * if (!held.add(bytes.length)) await drained
   */
  openResponse (): HeldBytes {
    let own = 0
    const change = (bytes: number): boolean => {
      own += bytes
      this.total += bytes
      this.highest = Math.max(this.highest, this.total)
      return own <= 0 || (own < this.limits.maxResponseBytes && this.total < this.limits.maxTotalBytes)
    }
    return { add: change, remove: (bytes) => change(-Math.min(bytes, own)), clear: () => change(-own) }
  }
}
