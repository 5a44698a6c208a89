/** Calls that several callers share, so that one target gets one call at a time however many want its answer. */

interface Entry<T> {
  readonly current: Promise<T>
  /** The call after the current one, for those who came while that was in progress. */
  next: Promise<T> | undefined
}

/**
 * Shares calls by key. A caller gets the answer of a call that began after it asked: an earlier one says nothing about what
 * has happened since. So at most one call is in progress and one waits for each key.
 */
export class SharedCalls<T> {
  private readonly entries = new Map<string, Entry<T>>()

  private constructor () {}

  /**
   * @example
   * const probes = SharedCalls.create<boolean>()
   */
  static create<T> (): SharedCalls<T> {
    return new SharedCalls<T>()
  }

  /**
   * Runs a call, or waits for one of the same key that is about to begin.
   *
   * @example
   * const isAlive = await probes.run(runner.id, () => probe(runner))
   */
  run (key: string, call: () => Promise<T>): Promise<T> {
    const entry = this.entries.get(key)
    if (entry === undefined) return this.start(key, call)
    const startNext = (): Promise<T> => this.start(key, call)
    entry.next ??= entry.current.then(startNext, startNext)
    return entry.next
  }

  private start (key: string, call: () => Promise<T>): Promise<T> {
    const entry: Entry<T> = { current: call(), next: undefined }
    this.entries.set(key, entry)
    const clear = (): void => {
      if (entry.next === undefined) this.entries.delete(key)
    }
    entry.current.then(clear, clear)
    return entry.current
  }
}
