/** Settings of a cluster's daemons. */
import { hashText } from 'figquay'
import type { ClusterOptions } from './FigquayMeasureClusterTypes.js'

/** Operator key of every trial. */
export const OPERATOR_KEY = 'trial-operator-key'
const PEER_SECRET = 'trial-secret-between-daemons'

/** What differs from daemon to daemon; ports are on loopback. */
export interface DaemonPlace {
  readonly id: string
  readonly zone: string
  readonly callers: number
  readonly operators: number
  readonly peers: number
  readonly logUrl: string
  readonly rosterUrl: string
}

/**
 * Makes the settings of one daemon.
 *
 * @example
 * makeDaemonSettings(options, { id: 'daemon-1', zone: 'cairo-1', callers, operators, peers, logUrl, rosterUrl })
 */
export function makeDaemonSettings (options: ClusterOptions, place: DaemonPlace): unknown {
  return {
    id: place.id,
    zone: place.zone,
    listen: { callers: `127.0.0.1:${place.callers}`, operators: `127.0.0.1:${place.operators}`, peers: `127.0.0.1:${place.peers}` },
    log: { plugin: 'http', url: place.logUrl },
    roster: { plugin: 'http', url: place.rosterUrl },
    peerSecrets: [PEER_SECRET],
    operatorKeys: [hashText(OPERATOR_KEY)],
    logLevel: options.logLevel ?? 'info',
    policies: { admission: 'predicted', selector: 'affinity', placement: 'gain', ...options.policies },
    snapshots: options.snapshots ?? { every: '30s', records: 1000 },
    drainGrace: options.drainGrace ?? '1s'
  }
}
