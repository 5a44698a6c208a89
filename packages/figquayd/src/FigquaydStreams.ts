/** Log streams that a daemon follows: catches up from peers while the log is unreachable, and writes snapshots. */
import { makeId, type Clock, type Logger, type TaskGroup } from 'figquay'
import { ConfigurationStateMachine } from 'figquay-contracts'
import { IdempotencyStateMachine, type ClaimPartition } from 'figquay-idempotency'
import { StreamReplica, LogAppender, type StateMachine, type LogRecord, type LogService, type SnapshotData } from 'figquay-log'
import { PlacementStateMachine } from 'figquay-placement'
import type { Hints, PeerMesh } from 'figquay-peers'

/** Dependencies of the streams. */
export interface DaemonStreamsOptions {
  readonly daemon: string
  readonly log: LogService
  readonly clock: Clock
  readonly logger: Logger
  readonly claimPartitions: number
  readonly snapshotEveryMs: number
  readonly snapshotRecords: number
}

const SNAPSHOT_CHECK_INTERVAL_MS = 1_000

/** Latest snapshot record seen on a stream, and when it was first seen. */
interface ObservedSnapshot {
  readonly offset: number
  readonly seenAtMs: number
}

/** All log streams of one daemon, with their appenders. */
export class DaemonStreams {
  readonly configuration: StreamReplica<ConfigurationStateMachine>
  readonly configurationAppender: LogAppender
  readonly placement: StreamReplica<PlacementStateMachine>
  readonly placementAppender: LogAppender
  readonly claims: readonly ClaimPartition[]
  private readonly lastSeenSnapshots = new Map<string, ObservedSnapshot>()
  private readonly streamsCatchingUp = new Set<string>()

  private constructor (private readonly options: DaemonStreamsOptions) {
    this.configuration = this.makeStream('config', ConfigurationStateMachine.create())
    this.configurationAppender = this.makeAppender('config')
    this.placement = this.makeStream('placement', PlacementStateMachine.create())
    this.placementAppender = this.makeAppender('placement')
    this.claims = Array.from({ length: options.claimPartitions }, (_, index) => ({
      stream: this.makeStream(`claims-${index}`, IdempotencyStateMachine.create()),
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

  /** All followed streams. */
  get allStreams (): Array<StreamReplica<StateMachine>> {
    return [this.configuration, this.placement, ...this.claims.map((partition) => partition.stream)] as Array<StreamReplica<StateMachine>>
  }

  /** Number of append requests sent so far, over all streams. */
  get appendCount (): number {
    const appenders = [this.configurationAppender, this.placementAppender, ...this.claims.map((partition) => partition.appender)]
    return appenders.reduce((sum, appender) => sum + appender.appendCount, 0)
  }

  /**
   * Starts the tasks that follow the streams and write snapshots.
   *
   * @example
   * streams.start(tasks, mesh)
   */
  start (tasks: TaskGroup, mesh: PeerMesh): void {
    for (const stream of this.allStreams) stream.start(tasks)
    tasks.startLoop('snapshots', SNAPSHOT_CHECK_INTERVAL_MS, () => this.writeSnapshots(mesh))
  }

  /** Returns a stream by its name. */
  findStream (name: string): StreamReplica<StateMachine> | undefined {
    return this.allStreams.find((stream) => stream.name === name)
  }

  /** Returns the position of each stream by its name, for the hints to peers. */
  listPositions (): Record<string, number> {
    return Object.fromEntries(this.allStreams.map((stream) => [stream.name, stream.position]))
  }

  /**
   * Catches up from a peer that is ahead, for each stream that the log cannot supply: because the log is unreachable,
   * or because older records have expired and no snapshot has been applied yet.
   *
   * @example
   * await streams.catchUpFromPeer(mesh, hints)
   */
  async catchUpFromPeer (mesh: PeerMesh, hints: Hints): Promise<void> {
    for (const stream of this.allStreams) {
      const peerPosition = hints.positions[stream.name] ?? 0
      const isBehind = peerPosition > stream.position && (!stream.isLogReachable || !stream.isContiguous)
      if (!isBehind || this.streamsCatchingUp.has(stream.name)) continue
      this.streamsCatchingUp.add(stream.name)
      await this.catchUpStream(mesh, hints.daemon, stream)
      this.streamsCatchingUp.delete(stream.name)
    }
  }

  private async catchUpStream (mesh: PeerMesh, peer: string, stream: StreamReplica<StateMachine>): Promise<void> {
    const recordsReply = await mesh.callPeer<LogRecord[] | null>(peer, 'log.read', { stream: stream.name, from: stream.position })
    if (!recordsReply.ok) return
    if (recordsReply.value !== null && stream.isContiguous) {
      stream.acceptRecords(recordsReply.value)
      return
    }
    const snapshotReply = await mesh.callPeer<SnapshotData>(peer, 'log.snapshot', { stream: stream.name })
    if (snapshotReply.ok) stream.installSnapshot(snapshotReply.value)
  }

  private makeStream<F extends StateMachine> (stream: string, stateMachine: F): StreamReplica<F> {
    const { log, clock, logger } = this.options
    return StreamReplica.create({ stream, stateMachine, log, clock, logger })
  }

  private makeAppender (stream: string): LogAppender {
    return LogAppender.create(this.options.log, stream, this.options.clock)
  }

  /** Writes the snapshots that are due if no connected peer has a lower id; if two daemons write at once, either snapshot is valid. */
  private async writeSnapshots (mesh: PeerMesh): Promise<void> {
    const isWriter = mesh.connectedPeers.every((peer) => peer > this.options.daemon)
    const appenders = new Map<string, LogAppender>([['config', this.configurationAppender], ['placement', this.placementAppender], ...this.claims.map(({ stream, appender }): [string, LogAppender] => [stream.name, appender])])
    for (const stream of this.allStreams) {
      if (!this.isSnapshotDue(stream) || !isWriter) continue
      await appenders.get(stream.name)!.appendRecord({ id: makeId('snapshot'), data: stream.exportSnapshot() })
    }
  }

  private isSnapshotDue (stream: StreamReplica<StateMachine>): boolean {
    if (!stream.hasCaughtUp || !stream.isLogReachable || stream.position === 0) return false
    const nowMs = this.options.clock.readMonotonicMs()
    const lastSeen = this.lastSeenSnapshots.get(stream.name)
    if (lastSeen?.offset !== stream.lastSnapshotOffset) {
      this.lastSeenSnapshots.set(stream.name, { offset: stream.lastSnapshotOffset, seenAtMs: nowMs })
      return false
    }
    const recordsSinceSnapshot = stream.position - 1 - stream.lastSnapshotOffset
    // Records expire, so a snapshot is renewed after some time even if nothing has changed.
    return recordsSinceSnapshot >= this.options.snapshotRecords || nowMs - lastSeen.seenAtMs >= this.options.snapshotEveryMs
  }
}
