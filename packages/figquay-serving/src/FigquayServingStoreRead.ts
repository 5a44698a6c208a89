/** One read of the store in progress: whether it may still begin anew, and when the store began to respond. */

/** Options of a read in progress. */
export interface StoreReadOptions {
  /** Aborts when the daemon stops. */
  readonly task: AbortSignal
  /** Aborts when a read that waits for something new is to begin anew; undefined for a read that doesn't wait. */
  readonly restart?: AbortSignal | undefined
  /** Returns the earliest monotonic time, in milliseconds, at which what is read from sockets now may have arrived. */
  readonly estimateArrivalMs: () => number
  /** Called once, when the store begins to respond. */
  readonly recordResponse: () => void
}

/**
 * A read of the store. While it waits, it may be ended to begin anew. Once the store responds, the response may hold a change
 * that takes long to arrive, so the read goes on to its end.
 */
export class StoreRead {
  private readonly controller = new AbortController()
  private firstResponseAfterMs: number | undefined

  private constructor (private readonly options: StoreReadOptions) {
    for (const signal of [options.task, options.restart]) {
      if (signal?.aborted === true) this.abort()
      signal?.addEventListener('abort', this.abort, { once: true })
    }
  }

  /**
   * @example
   * const read = StoreRead.create({ task: signal, restart: longPollAbort.signal, estimateArrivalMs, recordResponse })
   */
  static create (options: StoreReadOptions): StoreRead {
    return new StoreRead(options)
  }

  get signal (): AbortSignal {
    return this.controller.signal
  }

  /** Whether the read was ended before the store responded. */
  get wasAborted (): boolean {
    return this.controller.signal.aborted
  }

  /** Monotonic time after which the store made its response, in milliseconds: what it holds is as old as that, however long its bytes took. */
  get respondedAfterMs (): number | undefined {
    return this.firstResponseAfterMs
  }

  /** Notes that the store begins to respond; a repeated read or a further page counts no more. */
  readonly noteResponse = (): void => {
    if (this.firstResponseAfterMs !== undefined) return
    this.firstResponseAfterMs = this.options.estimateArrivalMs()
    this.options.restart?.removeEventListener('abort', this.abort)
    this.options.recordResponse()
  }

  /** Removes the listeners from the signals. */
  dispose (): void {
    for (const signal of [this.options.task, this.options.restart]) signal?.removeEventListener('abort', this.abort)
  }

  private readonly abort = (): void => this.controller.abort()
}
