/** Makes the settings files of the daemons of a local cluster. */
import { hashText } from 'figquay'
import type { ClusterOptions } from './FigquayMeasureClusterTypes.js'

/** Operator key of every local cluster. */
export const OPERATOR_KEY = 'trial-operator-key'
const PEER_SECRET = 'trial-secret-between-daemons'

/** Identity and endpoints of one daemon; all ports are on loopback. */
export interface DaemonSpec {
  readonly id: string
  readonly zone: string
  readonly callerPort: number
  readonly operatorPort: number
  readonly peerPort: number
  readonly logUrl: string
  readonly rosterUrl: string
}

/**
 * Makes the settings of one daemon.
 *
 * @example
 * makeDaemonSettings(options, { id: 'daemon-1', zone: 'cairo-1', callerPort, operatorPort, peerPort, logUrl, rosterUrl })
 */
export function makeDaemonSettings (options: ClusterOptions, daemon: DaemonSpec): unknown {
  return {
    id: daemon.id,
    zone: daemon.zone,
    listen: { callers: `127.0.0.1:${daemon.callerPort}`, operators: `127.0.0.1:${daemon.operatorPort}`, peers: `127.0.0.1:${daemon.peerPort}` },
    log: { plugin: 'http', url: daemon.logUrl },
    roster: { plugin: 'http', url: daemon.rosterUrl },
    peerSecrets: [PEER_SECRET],
    operatorKeys: [hashText(OPERATOR_KEY)],
    logLevel: options.logLevel ?? 'info',
    policies: { admission: 'predicted', selector: 'affinity', placement: 'gain', ...options.policies },
    snapshots: options.snapshots ?? { every: '30s', records: 1000 },
    drainGrace: options.drainGrace ?? '1s'
  }
}
