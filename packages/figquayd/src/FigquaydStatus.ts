/** Status report and gauges of a daemon. */
import type { PeerMesh } from 'figquay-peers'
import type { LeaseManager } from 'figquay-placement'
import type { DaemonStatus, Metrics } from 'figquay-report'
import type { DaemonStreams } from './FigquaydStreams.js'

/** Sources of the status and the gauges. */
export interface StatusSource {
  readonly daemon: string
  readonly zone: string
  readonly streams: DaemonStreams
  readonly mesh: PeerMesh
  readonly leases: LeaseManager
  /** Counts the HTTP exchanges with callers that have not ended. */
  readonly countActiveExchanges: () => number
  /** Counts the requests that are queued for a runner. */
  readonly countQueuedRequests: () => number
  readonly isReady: () => boolean
  readonly isDraining: () => boolean
}

/**
 * Reads the current status.
 *
 * @example
 * readStatus(source).ready
 */
export function readStatus (source: StatusSource): DaemonStatus {
  return {
    daemon: source.daemon,
    zone: source.zone,
    ready: source.isReady(),
    draining: source.isDraining(),
    activeExchanges: source.countActiveExchanges(),
    queueLength: source.countQueuedRequests(),
    peers: source.mesh.connectedPeers,
    cells: source.leases.listHeldCells(),
    positions: source.streams.listPositions(),
    logReachable: source.streams.configuration.isLogReachable
  }
}

/**
 * Registers gauges that are evaluated whenever the metrics are exported; returns the function that unregisters them.
 *
 * @example
 * registerGauges(metrics, source)
 */
export function registerGauges (metrics: Metrics, { streams, mesh, countActiveExchanges, countQueuedRequests }: StatusSource): () => void {
  const undos = [
    metrics.registerGauge('figquay_queue_length', 'Requests that wait for a runner', countQueuedRequests),
    metrics.registerGauge('figquay_active_exchanges', 'Exchanges with callers', countActiveExchanges),
    metrics.registerGauge('figquay_peer_bytes', 'Bytes carried between daemons so far', () => mesh.byteCount),
    metrics.registerGauge('figquay_log_appends', 'Appends sent to the log so far', () => streams.appendCount),
    metrics.registerGauge('figquay_log_reachable', '1 while the log answers', () => streams.configuration.isLogReachable ? 1 : 0),
    metrics.registerGauge('figquay_config_position', 'Next offset of the configuration stream', () => streams.configuration.position)
  ]
  return () => undos.forEach((undo) => undo())
}
