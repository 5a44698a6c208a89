/** Follows one stream of the log and applies its records to a state machine. */
import { hashText, invariant, type Clock, type Logger, type TaskGroup } from 'figquay'
import { isSnapshot, type StateMachine, type SnapshotData } from './FigquayLogStateMachine.js'
import type { LogRecord, LogService } from './FigquayLogService.js'

/** Dependencies of a stream replica. */
export interface StreamReplicaOptions<S extends StateMachine> {
  readonly stream: string
  readonly stateMachine: S
  readonly log: LogService
  readonly clock: Clock
  readonly logger: Logger
}

const LONG_POLL_TIMEOUT_MS = 900
const RETRY_DELAY_MS = 100
/** Applied records kept for peers that cannot reach the log; the buffer is trimmed to this many at twice the size. */
const MIN_RECENT_RECORDS = 2_000
/** The log counts as unreachable when no read has succeeded for this long. Longer than a long poll. */
const LOG_UNREACHABLE_TIMEOUT_MS = 1_500

/** Local replica of a stream: its state machine, and the position up to which records have been applied. */
export class StreamReplica<S extends StateMachine> {
  private nextOffset = 0
  private contiguous = false
  private bufferedRecords: LogRecord[] = []
  private recentRecords: LogRecord[] = []
  private lastReadAtMs = Number.NEGATIVE_INFINITY
  private caughtUp = false
  private latestSnapshotOffset = -1
  private readonly listeners = new Set<() => void>()

  private constructor (private readonly options: StreamReplicaOptions<S>) {}

  /**
   * @example
   * const configuration = StreamReplica.create({ stream: 'config', stateMachine, log, clock, logger })
   */
  static create<S extends StateMachine> (options: StreamReplicaOptions<S>): StreamReplica<S> {
    return new StreamReplica(options)
  }

  get name (): string {
    return this.options.stream
  }

  /** State machine to which the records are applied. */
  get stateMachine (): S {
    return this.options.stateMachine
  }

  /** Offset of the next record to apply. */
  get position (): number {
    return this.nextOffset
  }

  /** Whether the state has no gap: it was built from the beginning of the stream or from a snapshot. */
  get isContiguous (): boolean {
    return this.contiguous
  }

  /** Offset of the latest snapshot record applied; -1 if there was none. */
  get lastSnapshotOffset (): number {
    return this.latestSnapshotOffset
  }

  /** Whether a read of the log succeeded recently. */
  get isLogReachable (): boolean {
    return this.options.clock.readMonotonicMs() - this.lastReadAtMs < LOG_UNREACHABLE_TIMEOUT_MS
  }

  /** Whether the end of the stream has been reached at least once. */
  get hasCaughtUp (): boolean {
    return this.caughtUp
  }

  /**
   * Starts the task that follows the log.
   *
   * @example
   * stream.start(tasks)
   */
  start (tasks: TaskGroup): void {
    tasks.startTask(`follow ${this.name}`, async (signal) => {
      while (!signal.aborted) await this.readNextPage(signal)
    })
  }

  /**
   * Calls `listener` after each change of the state; returns a function that removes the listener.
   *
   * @example
   * const unregister = stream.registerListener(() => reload())
   */
  registerListener (listener: () => void): () => void {
    this.listeners.add(listener)
    return () => {
      this.listeners.delete(listener)
    }
  }

  /**
   * Waits until a condition on the state holds; returns false if it does not hold before the timeout or an abort.
   *
   * @example
   * const seen = await stream.waitUntil(() => stream.position > offset, 1_000)
   */
  async waitUntil (condition: () => boolean, timeoutMs: number, signal?: AbortSignal): Promise<boolean> {
    if (condition()) return true
    const waitAbort = new AbortController()
    const endWait = (): void => waitAbort.abort()
    const unregister = this.registerListener(() => {
      if (condition()) endWait()
    })
    signal?.addEventListener('abort', endWait, { once: true })
    await this.options.clock.waitFor(timeoutMs, waitAbort.signal)
    signal?.removeEventListener('abort', endWait)
    unregister()
    return condition()
  }

  /**
   * Applies records from the log or from a peer; those already applied are ignored.
   *
   * @example
   * stream.acceptRecords(await peer.readRecords('config', stream.position))
   */
  acceptRecords (records: readonly LogRecord[]): void {
    let hasChanged = false
    for (const record of records) hasChanged = this.acceptRecord(record) || hasChanged
    if (hasChanged) this.notifyListeners()
  }

  /**
   * Replaces the state with a snapshot that is ahead of it or closes a gap, such as the snapshot of a peer.
   *
   * @example
   * stream.installSnapshot(await peer.readSnapshot('config'))
   */
  installSnapshot (snapshot: SnapshotData): void {
    const snapshotEndOffset = snapshot.covers + 1
    if (snapshotEndOffset < this.nextOffset || (this.contiguous && snapshotEndOffset === this.nextOffset)) return
    if (hashText(JSON.stringify(snapshot.state)) !== snapshot.hash) {
      this.options.logger.warn('ignored a snapshot whose hash does not match its state', { stream: this.name, covers: snapshot.covers })
      return
    }
    this.options.stateMachine.importState(snapshot.state)
    this.nextOffset = snapshotEndOffset
    this.contiguous = true
    this.recentRecords = []
    this.applyBufferedRecords()
    this.notifyListeners()
  }

  /**
   * Lists the applied records from an offset on; undefined if the first of them is no longer kept.
   *
   * @example
   * const records = stream.listRecentRecords(120)
   */
  listRecentRecords (from: number): readonly LogRecord[] | undefined {
    const oldest = this.recentRecords[0]?.offset ?? this.nextOffset
    return from < oldest ? undefined : this.recentRecords.filter((record) => record.offset >= from)
  }

  /**
   * Exports the current state as the data of a snapshot record.
   *
   * @example
   * await appender.appendRecord({ id: makeId('snapshot'), data: stream.exportSnapshot() })
   */
  exportSnapshot (): SnapshotData {
    const state = this.options.stateMachine.exportState()
    return { type: 'snapshot', covers: this.nextOffset - 1, hash: hashText(JSON.stringify(state)), state }
  }

  /** Reads one page of the log; waits after a failure. */
  private async readNextPage (signal: AbortSignal): Promise<void> {
    const from = this.contiguous ? this.nextOffset : (this.bufferedRecords.at(-1)?.offset ?? this.nextOffset - 1) + 1
    const page = await this.options.log.readPage(this.name, from, LONG_POLL_TIMEOUT_MS, signal)
    if (!page.ok) {
      await this.options.clock.waitFor(RETRY_DELAY_MS, signal)
      return
    }
    this.lastReadAtMs = this.options.clock.readMonotonicMs()
    this.updateContiguity(page.value.firstOffset)
    this.acceptRecords(page.value.records)
    if (this.contiguous && this.nextOffset >= page.value.endOffset && !this.caughtUp) {
      this.caughtUp = true
      this.notifyListeners()
    }
    // A log replica that lags behind answers at once without new records; wait to avoid a busy loop.
    if (page.value.endOffset < this.nextOffset) await this.options.clock.waitFor(RETRY_DELAY_MS, signal)
  }

  /** Compares the position with the oldest record kept by the log. After a gap, records are buffered until a snapshot closes it. */
  private updateContiguity (firstOffset: number): void {
    if (this.contiguous && this.nextOffset >= firstOffset) return
    if (!this.contiguous && firstOffset === 0) this.contiguous = true
    else if (this.contiguous) {
      this.contiguous = false
      this.options.logger.warn('records expired before they were read; waiting for a snapshot', { stream: this.name, next: this.nextOffset, firstOffset })
    }
  }

  private acceptRecord (record: LogRecord): boolean {
    if (!this.contiguous) return this.bufferRecord(record)
    if (record.offset !== this.nextOffset) return false
    this.applyRecord(record)
    return true
  }

  private bufferRecord (record: LogRecord): boolean {
    if (record.offset <= (this.bufferedRecords.at(-1)?.offset ?? -1)) return false
    this.bufferedRecords.push(record)
    const data = record.data
    if (!isSnapshot(data) || data.covers + 1 < this.nextOffset) return false
    if (data.covers + 1 < this.bufferedRecords[0]!.offset) return false
    this.installSnapshot(data)
    return true
  }

  private applyBufferedRecords (): void {
    const buffered = this.bufferedRecords
    this.bufferedRecords = []
    for (const record of buffered) {
      if (record.offset === this.nextOffset) this.applyRecord(record)
    }
  }

  private applyRecord (record: LogRecord): void {
    invariant(record.offset === this.nextOffset, 'records are applied in order')
    if (isSnapshot(record.data)) this.latestSnapshotOffset = record.offset
    else this.options.stateMachine.applyRecord(record)
    this.nextOffset = record.offset + 1
    this.recentRecords.push(record)
    if (this.recentRecords.length > 2 * MIN_RECENT_RECORDS) this.recentRecords = this.recentRecords.slice(-MIN_RECENT_RECORDS)
  }

  private notifyListeners (): void {
    for (const listener of [...this.listeners]) listener()
  }
}
