/** What other daemons may ask of this one. */
import type { LogRecord, SnapshotData } from 'figquay-log'
import type { HintParts, PeerMethods } from 'figquay-peers'
import type { PlacementController } from 'figquay-placement'
import type { BurnTracker, DaemonStatus } from 'figquay-report'
import type { CrashAttribution, RequestTraces, ReservationRequest } from 'figquay-routing'
import type { EndedReservations, Reservations } from './FigquaydReservations.js'
import type { ReportsRequest, SharedReports } from './FigquaydSharedReports.js'
import type { DaemonStreams } from './FigquaydStreams.js'
import type { Suspects, SuspectRequest } from './FigquaydSuspects.js'

/** What the methods need; parts that are made after the connections are read when a call comes. */
export interface PeerMethodsOptions {
  readonly streams: DaemonStreams
  readonly burn: BurnTracker
  readonly traces: RequestTraces
  readonly readPlacement: () => PlacementController
  readonly readSuspects: () => Suspects
  readonly readReservations: () => Reservations
  readonly readReports: () => SharedReports
  readonly readStatus: () => DaemonStatus
  readonly takeHints: (parts: Partial<HintParts> & { readonly daemon: string }) => void
}

/** Names a stream and where to begin. */
interface ReadRequest {
  readonly stream: string
  readonly from: number
}

/** Names an adapter and the runner that needs it. */
interface AdapterRequest {
  readonly runner: string
  readonly model: string
  readonly adapter: string
}

/**
 * Makes the methods, by name.
 *
 * @example
 * const methods = makePeerMethods(options)
 */
export function makePeerMethods (options: PeerMethodsOptions): PeerMethods {
  const { streams, burn, traces } = options
  return {
    'hints.put': options.takeHints,
    'crash.charge': (charge: CrashAttribution) => options.readSuspects().takeCharge(charge),
    'crash.clear': ({ upstream }: Pick<CrashAttribution, 'upstream'>) => options.readSuspects().answerClear(upstream),
    'suspect.take': (request: SuspectRequest) => options.readSuspects().answerTake(request),
    'suspect.running': (request: SuspectRequest) => options.readSuspects().noteRunning(request),
    'suspect.return': (request: SuspectRequest) => options.readSuspects().answerReturn(request),
    'reservation.take': (request: ReservationRequest) => options.readReservations().takeRequest(request),
    'reservation.end': (ended: EndedReservations) => options.readReservations().takeEnded(ended),
    'reports.read': (request: ReportsRequest) => options.readReports().answerRead(request),
    'placement.loadAdapter': ({ runner, model, adapter }: AdapterRequest) => options.readPlacement().loadAdapter(runner, model, adapter),
    'log.read': ({ stream, from }: ReadRequest): readonly LogRecord[] | null => streams.findStream(stream)?.listRecent(from) ?? null,
    'log.snapshot': ({ stream }: Pick<ReadRequest, 'stream'>): SnapshotData | null => streams.findStream(stream)?.exportSnapshot() ?? null,
    'config.position': () => streams.configuration.position,
    'status.get': options.readStatus,
    'burn.list': () => burn.listBuckets(),
    'moves.list': () => options.readPlacement().history,
    'explain.get': ({ requestId }: { readonly requestId: string }) => traces.listEvents(requestId)
  }
}
