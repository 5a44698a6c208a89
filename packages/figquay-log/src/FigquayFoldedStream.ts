/** Follows one stream of the log and keeps the fold of its records. */
import { hashText, invariant, type Clock, type Logger, type TaskGroup } from 'figquay'
import { isSnapshot, type Fold, type SnapshotData } from './FigquayFold.js'
import type { LogRecord, LogService } from './FigquayLogService.js'

/** What a folded stream needs. */
export interface FoldedStreamOptions<F extends Fold> {
  readonly stream: string
  readonly fold: F
  readonly log: LogService
  readonly clock: Clock
  readonly logger: Logger
}

const LONG_POLL_MS = 900
const RETRY_PAUSE_MS = 100
/** Raw records kept to pass on to peers that cannot reach the log. */
const RECENT_RECORDS = 2_000
/** The log counts as unreachable when nothing was heard for this long, in milliseconds. */
const UNREACHABLE_AFTER_MS = 1_500

/** A stream, its fold, and how far it has been applied. */
export class FoldedStream<F extends Fold> {
  private nextOffset = 0
  private based = false
  private pending: LogRecord[] = []
  private recent: LogRecord[] = []
  private lastHeardMs = Number.NEGATIVE_INFINITY
  private caughtUp = false
  private snapshotOffset = -1
  private readonly listeners = new Set<() => void>()

  private constructor (private readonly options: FoldedStreamOptions<F>) {}

  /**
   * @example
   * const configuration = FoldedStream.create({ stream: 'config', fold, log, clock, logger })
   */
  static create<F extends Fold> (options: FoldedStreamOptions<F>): FoldedStream<F> {
    return new FoldedStream(options)
  }

  /** Name of the stream. */
  get name (): string {
    return this.options.stream
  }

  /** The folded state. */
  get fold (): F {
    return this.options.fold
  }

  /** Offset of the next record to apply. */
  get position (): number {
    return this.nextOffset
  }

  /** Whether the state joins on to the beginning of the stream or to a snapshot. */
  get isBased (): boolean {
    return this.based
  }

  /** Offset of the latest snapshot record seen; -1 when there was none. */
  get lastSnapshotOffset (): number {
    return this.snapshotOffset
  }

  /** Whether the log answered a read of late. */
  get isReachable (): boolean {
    return this.options.clock.readMonotonicMs() - this.lastHeardMs < UNREACHABLE_AFTER_MS
  }

  /** Whether the end of the stream has been reached once. */
  get isCaughtUp (): boolean {
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
      while (!signal.aborted) await this.readOnce(signal)
    })
  }

  /**
   * Calls `listener` after each change; returns the function that ends it.
   *
   * @example
   * const undo = stream.registerListener(() => reload())
   */
  registerListener (listener: () => void): () => void {
    this.listeners.add(listener)
    return () => {
      this.listeners.delete(listener)
    }
  }

  /**
   * Waits until a condition on the folded state holds; false when the time is up.
   *
   * @example
   * const seen = await stream.waitUntil(() => stream.position > offset, 1_000)
   */
  async waitUntil (condition: () => boolean, timeoutMs: number, signal?: AbortSignal): Promise<boolean> {
    if (condition()) return true
    const settled = new AbortController()
    const settle = (): void => settled.abort()
    const undo = this.registerListener(() => {
      if (condition()) settle()
    })
    signal?.addEventListener('abort', settle, { once: true })
    await this.options.clock.waitFor(timeoutMs, settled.signal)
    signal?.removeEventListener('abort', settle)
    undo()
    return condition()
  }

  /**
   * Takes records that a peer has read; those already applied are ignored.
   *
   * @example
   * stream.acceptRecords(await peer.readRecords('config', stream.position))
   */
  acceptRecords (records: readonly LogRecord[]): void {
    let changed = false
    for (const record of records) changed = this.takeRecord(record) || changed
    if (changed) this.notifyListeners()
  }

  /**
   * Takes the state of a peer, when this process has no base of its own or is far behind.
   *
   * @example
   * stream.adoptSnapshot(await peer.readSnapshot('config'))
   */
  adoptSnapshot (snapshot: SnapshotData): void {
    const next = snapshot.covers + 1
    if (next < this.nextOffset || (this.based && next === this.nextOffset)) return
    if (hashText(JSON.stringify(snapshot.state)) !== snapshot.hash) {
      this.options.logger.warn('snapshot with a wrong hash ignored', { stream: this.name, covers: snapshot.covers })
      return
    }
    this.options.fold.importState(snapshot.state)
    this.nextOffset = next
    this.based = true
    this.recent = []
    this.applyPending()
    this.notifyListeners()
  }

  /**
   * Raw records from an offset on, or undefined when they are no longer kept.
   *
   * @example
   * const records = stream.listRecent(120)
   */
  listRecent (from: number): readonly LogRecord[] | undefined {
    const oldest = this.recent[0]?.offset ?? this.nextOffset
    return from < oldest ? undefined : this.recent.filter((record) => record.offset >= from)
  }

  /**
   * The current state as the data of a snapshot record.
   *
   * @example
   * await appender.appendRecord({ id: makeId('snapshot'), data: stream.exportSnapshot() })
   */
  exportSnapshot (): SnapshotData {
    const state = this.options.fold.exportState()
    return { type: 'snapshot', covers: this.nextOffset - 1, hash: hashText(JSON.stringify(state)), state }
  }

  /** One read of the log; a failure is followed by a pause. */
  private async readOnce (signal: AbortSignal): Promise<void> {
    const from = this.based ? this.nextOffset : (this.pending.at(-1)?.offset ?? this.nextOffset - 1) + 1
    const page = await this.options.log.readPage(this.name, from, LONG_POLL_MS, signal)
    if (!page.ok) {
      await this.options.clock.waitFor(RETRY_PAUSE_MS, signal)
      return
    }
    this.lastHeardMs = this.options.clock.readMonotonicMs()
    this.checkBase(page.value.firstOffset)
    this.acceptRecords(page.value.records)
    if (this.based && this.nextOffset >= page.value.endOffset && !this.caughtUp) {
      this.caughtUp = true
      this.notifyListeners()
    }
    // An older replica of the log answers at once with nothing new: do not spin on it.
    if (page.value.endOffset < this.nextOffset) await this.options.clock.waitFor(RETRY_PAUSE_MS, signal)
  }

  /** Without a base, records are held until a snapshot that joins on to them shows up. */
  private checkBase (firstOffset: number): void {
    if (this.based && this.nextOffset >= firstOffset) return
    if (!this.based && firstOffset === 0) this.based = true
    else if (this.based) {
      this.based = false
      this.options.logger.warn('records expired before they were read; waiting for a snapshot', { stream: this.name, next: this.nextOffset, firstOffset })
    }
  }

  private takeRecord (record: LogRecord): boolean {
    if (!this.based) return this.holdRecord(record)
    if (record.offset !== this.nextOffset) return false
    this.applyRecord(record)
    return true
  }

  private holdRecord (record: LogRecord): boolean {
    if (record.offset <= (this.pending.at(-1)?.offset ?? -1)) return false
    this.pending.push(record)
    const data = record.data
    if (!isSnapshot(data) || data.covers + 1 < this.nextOffset) return false
    if (data.covers + 1 < this.pending[0]!.offset) return false
    this.adoptSnapshot(data)
    return true
  }

  private applyPending (): void {
    const held = this.pending
    this.pending = []
    for (const record of held) {
      if (record.offset === this.nextOffset) this.applyRecord(record)
    }
  }

  private applyRecord (record: LogRecord): void {
    invariant(record.offset === this.nextOffset, 'records are applied in order')
    if (isSnapshot(record.data)) this.snapshotOffset = record.offset
    else this.options.fold.applyRecord(record)
    this.nextOffset = record.offset + 1
    this.recent.push(record)
    if (this.recent.length > 2 * RECENT_RECORDS) this.recent = this.recent.slice(-RECENT_RECORDS)
  }

  private notifyListeners (): void {
    for (const listener of [...this.listeners]) listener()
  }
}
