/** Types of a cluster on loopback. */
import type { RosterVm } from 'figquay-standins'
import type { DeploymentName, DeploymentSize } from './FigquayMeasureDeployments.js'
import type { ManagedProcess } from './FigquayMeasureProcesses.js'

/** Options of a cluster. */
export interface ClusterOptions {
  readonly deployment: DeploymentName
  readonly daemons: number
  /** Overrides properties of the deployment. */
  readonly size?: Partial<DeploymentSize>
  readonly fencing?: 'checked' | 'ignored'
  /** Connections that run through a fault-injecting proxy. */
  readonly proxied?: { readonly log?: boolean, readonly roster?: boolean, readonly engines?: boolean, readonly services?: boolean, readonly peers?: boolean }
  readonly policies?: { readonly admission?: string, readonly selector?: string, readonly placement?: string }
  /** Factor on the transfer times of the weight store; below 1 models load faster. */
  readonly transferTimeScale?: number
  /** How long a crashed engine stays down, in milliseconds. */
  readonly restartMs?: number
  /** Number of engines per process, to run many at low load; 1 by default. */
  readonly enginesPerProcess?: number
  /** Whether `start` waits until every model is loaded; true by default. */
  readonly waitForModels?: boolean
  readonly drainGrace?: string
  readonly snapshots?: { readonly every: string, readonly records: number }
  readonly logLevel?: string
  /** Edits the text of the deployment file before it is published. */
  readonly editContracts?: (text: string) => string
}

/** One daemon of the cluster. */
export interface ClusterDaemon {
  readonly id: string
  readonly zone: string
  readonly callerUrl: string
  readonly operatorUrl: string
  readonly vm: RosterVm
  readonly settingsFile: string
  process: ManagedProcess
}

/** One upstream of the cluster. */
export interface ClusterUpstream {
  readonly id: string
  /** URL of the stand-in itself, which bypasses any proxy. */
  readonly directUrl: string
  readonly vm: RosterVm
  readonly process: ManagedProcess
  /** Control URL of the proxy; undefined without a proxy. */
  readonly proxyControlUrl: string | undefined
}
