/** The streams of the log that a daemon follows, and how it catches up from its peers. */
import { makeId, type Clock, type Logger, type TaskGroup } from 'figquay'
import { ConfigurationFold } from 'figquay-contracts'
import { IdempotencyFold, type ClaimPartition } from 'figquay-idempotency'
import { FoldedStream, LogAppender, type Fold, type LogRecord, type LogService, type SnapshotData } from 'figquay-log'
import { PlacementFold } from 'figquay-placement'
import type { Hints, PeerMesh } from 'figquay-peers'

/** What the streams need. */
export interface DaemonStreamsOptions {
  readonly daemon: string
  readonly log: LogService
  readonly clock: Clock
  readonly logger: Logger
  readonly claimPartitions: number
  readonly snapshotEveryMs: number
  readonly snapshotRecords: number
}

const SNAPSHOT_CHECK_MS = 1_000

interface SnapshotMark {
  readonly offset: number
  readonly seenAtMs: number
}

/** All followed streams of one daemon. */
export class DaemonStreams {
  readonly configuration: FoldedStream<ConfigurationFold>
  readonly configurationAppender: LogAppender
  readonly placement: FoldedStream<PlacementFold>
  readonly placementAppender: LogAppender
  readonly claims: readonly ClaimPartition[]
  private readonly marks = new Map<string, SnapshotMark>()
  private readonly catchingUp = new Set<string>()

  private constructor (private readonly options: DaemonStreamsOptions) {
    this.configuration = this.makeStream('config', ConfigurationFold.create())
    this.configurationAppender = this.makeAppender('config')
    this.placement = this.makeStream('placement', PlacementFold.create())
    this.placementAppender = this.makeAppender('placement')
    this.claims = Array.from({ length: options.claimPartitions }, (_, index) => ({
      stream: this.makeStream(`claims-${index}`, IdempotencyFold.create()),
      appender: this.makeAppender(`claims-${index}`)
    }))
  }

  /**
   * @example
   * const streams = DaemonStreams.create(options)
   */
  static create (options: DaemonStreamsOptions): DaemonStreams {
    return new DaemonStreams(options)
  }

  /** Every followed stream. */
  get all (): Array<FoldedStream<Fold>> {
    return [this.configuration, this.placement, ...this.claims.map((partition) => partition.stream)] as Array<FoldedStream<Fold>>
  }

  /** Appends sent so far, over all streams. */
  get appendCount (): number {
    const appenders = [this.configurationAppender, this.placementAppender, ...this.claims.map((partition) => partition.appender)]
    return appenders.reduce((sum, appender) => sum + appender.appendCount, 0)
  }

  /**
   * Starts following, and writing snapshots when it is this daemon's turn.
   *
   * @example
   * streams.start(tasks, mesh)
   */
  start (tasks: TaskGroup, mesh: PeerMesh): void {
    for (const stream of this.all) stream.start(tasks)
    tasks.startLoop('snapshots', SNAPSHOT_CHECK_MS, () => this.writeSnapshots(mesh))
  }

  /** Stream by name. */
  findStream (name: string): FoldedStream<Fold> | undefined {
    return this.all.find((stream) => stream.name === name)
  }

  /** Position of each stream, for the hints to peers. */
  listPositions (): Record<string, number> {
    return Object.fromEntries(this.all.map((stream) => [stream.name, stream.position]))
  }

  /**
   * Catches up from a peer that is ahead, where the log does not answer.
   *
   * @example
   * await streams.catchUp(mesh, hints)
   */
  async catchUp (mesh: PeerMesh, hints: Hints): Promise<void> {
    for (const stream of this.all) {
      const ahead = hints.positions[stream.name] ?? 0
      const isBehind = ahead > stream.position && (!stream.isReachable || !stream.isBased)
      if (!isBehind || this.catchingUp.has(stream.name)) continue
      this.catchingUp.add(stream.name)
      await this.catchUpStream(mesh, hints.daemon, stream)
      this.catchingUp.delete(stream.name)
    }
  }

  private async catchUpStream (mesh: PeerMesh, peer: string, stream: FoldedStream<Fold>): Promise<void> {
    const records = await mesh.callPeer<LogRecord[] | null>(peer, 'log.read', { stream: stream.name, from: stream.position })
    if (!records.ok) return
    if (records.value !== null && stream.isBased) {
      stream.acceptRecords(records.value)
      return
    }
    const snapshot = await mesh.callPeer<SnapshotData>(peer, 'log.snapshot', { stream: stream.name })
    if (snapshot.ok) stream.adoptSnapshot(snapshot.value)
  }

  private makeStream<F extends Fold> (stream: string, fold: F): FoldedStream<F> {
    const { log, clock, logger } = this.options
    return FoldedStream.create({ stream, fold, log, clock, logger })
  }

  private makeAppender (stream: string): LogAppender {
    return LogAppender.create(this.options.log, stream, this.options.clock)
  }

  /** The connected daemon with the lowest id writes; two that do both write the same. */
  private async writeSnapshots (mesh: PeerMesh): Promise<void> {
    const isFirst = mesh.connectedPeers.every((peer) => peer > this.options.daemon)
    const appenders = new Map<string, LogAppender>([['config', this.configurationAppender], ['placement', this.placementAppender], ...this.claims.map(({ stream, appender }): [string, LogAppender] => [stream.name, appender])])
    for (const stream of this.all) {
      if (!this.isSnapshotDue(stream) || !isFirst) continue
      await appenders.get(stream.name)!.appendRecord({ id: makeId('snapshot'), data: stream.exportSnapshot() })
    }
  }

  private isSnapshotDue (stream: FoldedStream<Fold>): boolean {
    if (!stream.isCaughtUp || !stream.isReachable || stream.position === 0) return false
    const now = this.options.clock.readMonotonicMs()
    const mark = this.marks.get(stream.name)
    if (mark?.offset !== stream.lastSnapshotOffset) {
      this.marks.set(stream.name, { offset: stream.lastSnapshotOffset, seenAtMs: now })
      return false
    }
    const records = stream.position - 1 - stream.lastSnapshotOffset
    // An old snapshot is written again even if nothing has changed, or it would expire itself.
    return records >= this.options.snapshotRecords || now - mark.seenAtMs >= this.options.snapshotEveryMs
  }
}
