/** Shapes of a cluster on loopback. */
import type { RosterVm } from 'figquay-standins'
import type { DeploymentName, DeploymentSize } from './FigquayMeasureDeployments.js'
import type { ManagedProcess } from './FigquayMeasureProcesses.js'

/** What to start. */
export interface ClusterOptions {
  readonly deployment: DeploymentName
  readonly daemons: number
  /** Replaces sizes of the deployment. */
  readonly size?: Partial<DeploymentSize>
  readonly fencing?: 'checked' | 'ignored'
  /** Links that run through a fault-injecting proxy. */
  readonly proxied?: { readonly log?: boolean, readonly roster?: boolean, readonly engines?: boolean, readonly services?: boolean, readonly peers?: boolean }
  readonly policies?: { readonly admission?: string, readonly selector?: string, readonly placement?: string }
  /** Multiplies every duration of the weight store; below 1 loads are faster. */
  readonly storeScale?: number
  readonly restartMs?: number
  /** Engines that share a process, for many light ones; 1 unless said otherwise. */
  readonly enginesPerProcess?: number
  /** Whether to wait until every model is loaded; true unless said otherwise. */
  readonly waitForModels?: boolean
  readonly drainGrace?: string
  readonly snapshots?: { readonly every: string, readonly records: number }
  readonly logLevel?: string
  /** Changes the contracts' text before it is published. */
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
  /** Where the stand-in itself listens, past any proxy. */
  readonly directUrl: string
  readonly vm: RosterVm
  readonly process: ManagedProcess
  readonly proxyUrl: string | undefined
}
