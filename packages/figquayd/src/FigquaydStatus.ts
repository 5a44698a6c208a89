/** What a daemon says of itself: its status and the gauges of its metrics. */
import type { PeerMesh } from 'figquay-peers'
import type { LeaseManager } from 'figquay-placement'
import type { DaemonStatus, Metrics } from 'figquay-report'
import type { DaemonStreams } from './FigquaydStreams.js'

/** Where the status comes from. */
export interface StatusSource {
  readonly daemon: string
  readonly zone: string
  readonly streams: DaemonStreams
  readonly mesh: PeerMesh
  readonly leases: LeaseManager
  /** Exchanges with callers. */
  readonly countActive: () => number
  /** Requests that wait for a runner. */
  readonly countQueued: () => number
  readonly isReady: () => boolean
  readonly isDraining: () => boolean
}

/**
 * Reads the status.
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
    activeExchanges: source.countActive(),
    queueLength: source.countQueued(),
    peers: source.mesh.connectedPeers,
    cells: source.leases.listHeldCells(),
    positions: source.streams.listPositions(),
    logReachable: source.streams.configuration.isReachable
  }
}

/**
 * Registers gauges that are read when metrics are written.
 *
 * @example
 * registerGauges(metrics, source)
 */
export function registerGauges (metrics: Metrics, { streams, mesh, countActive, countQueued }: StatusSource): () => void {
  const undos = [
    metrics.registerGauge('figquay_queue_length', 'Requests that wait for a runner', countQueued),
    metrics.registerGauge('figquay_active_exchanges', 'Exchanges with callers', countActive),
    metrics.registerGauge('figquay_peer_bytes', 'Bytes carried between daemons so far', () => mesh.byteCount),
    metrics.registerGauge('figquay_log_appends', 'Appends sent to the log so far', () => streams.appendCount),
    metrics.registerGauge('figquay_log_reachable', '1 while the log answers', () => streams.configuration.isReachable ? 1 : 0),
    metrics.registerGauge('figquay_config_position', 'Next offset of the configuration stream', () => streams.configuration.position)
  ]
  return () => undos.forEach((undo) => undo())
}
