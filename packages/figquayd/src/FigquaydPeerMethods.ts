/** RPC methods that a daemon exposes to its peers. */
import type { LogRecord, SnapshotData } from 'figquay-log'
import type { HintFields, PeerMethods } from 'figquay-peers'
import type { PlacementController } from 'figquay-placement'
import type { BurnRateTracker, DaemonStatus } from 'figquay-report'
import type { CrashAttribution, RequestTraces, ReservationRequest } from 'figquay-routing'
import type { ReleasedReservations, ReservationCoordinator } from './FigquaydReservationCoordinator.js'
import type { ReportsRequest, RunnerReportSync } from './FigquaydRunnerReportSync.js'
import type { DaemonStreams } from './FigquaydStreams.js'
import type { SuspectCoordinator, PermitRequest } from './FigquaydSuspectCoordinator.js'

/** Dependencies of the peer methods; those that are created after the peer mesh are looked up on each call. */
export interface PeerMethodsOptions {
  readonly streams: DaemonStreams
  readonly burn: BurnRateTracker
  readonly traces: RequestTraces
  readonly getPlacement: () => PlacementController
  readonly getSuspects: () => SuspectCoordinator
  readonly getReservations: () => ReservationCoordinator
  readonly getReportSync: () => RunnerReportSync
  readonly readStatus: () => DaemonStatus
  readonly applyHints: (parts: Partial<HintFields> & { readonly daemon: string }) => void
}

/** Parameters of `log.read`. */
interface LogReadRequest {
  readonly stream: string
  /** Offset of the first record to return. */
  readonly from: number
}

/** Parameters of `placement.loadAdapter`. */
interface LoadAdapterRequest {
  readonly runner: string
  readonly model: string
  readonly adapter: string
}

/**
 * Makes the peer methods, keyed by their name on the wire.
 *
 * @example
 * const methods = makePeerMethods(options)
 */
export function makePeerMethods (options: PeerMethodsOptions): PeerMethods {
  const { streams, burn, traces } = options
  return {
    'hints.put': options.applyHints,
    'crash.charge': (attribution: CrashAttribution) => options.getSuspects().recordCrash(attribution),
    'crash.clear': ({ upstream }: Pick<CrashAttribution, 'upstream'>) => options.getSuspects().handleClear(upstream),
    'suspect.take': (request: PermitRequest) => options.getSuspects().handleAcquire(request),
    'suspect.running': (request: PermitRequest) => options.getSuspects().recordRunning(request),
    'suspect.return': (request: PermitRequest) => options.getSuspects().handleRelease(request),
    'reservation.take': (request: ReservationRequest) => options.getReservations().handleReserve(request),
    'reservation.end': (released: ReleasedReservations) => options.getReservations().handleRelease(released),
    'reports.read': (request: ReportsRequest) => options.getReportSync().handleRead(request),
    'placement.loadAdapter': ({ runner, model, adapter }: LoadAdapterRequest) => options.getPlacement().loadAdapter(runner, model, adapter),
    'log.read': ({ stream, from }: LogReadRequest): readonly LogRecord[] | null => streams.findStream(stream)?.listRecentRecords(from) ?? null,
    'log.snapshot': ({ stream }: Pick<LogReadRequest, 'stream'>): SnapshotData | null => streams.findStream(stream)?.exportSnapshot() ?? null,
    'config.position': () => streams.configuration.position,
    'status.get': options.readStatus,
    'burn.list': () => burn.listBuckets(),
    'moves.list': () => options.getPlacement().history,
    'explain.get': ({ requestId }: { readonly requestId: string }) => traces.listEvents(requestId)
  }
}
