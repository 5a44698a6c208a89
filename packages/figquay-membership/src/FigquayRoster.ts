/** Interface to the platform's roster, its list of VMs. The roster may lag behind the actual state. */
import type { CallFailure, Outcome } from 'figquay'

/** Kind of process that a VM runs. */
export type VmKind = 'daemon' | 'engine' | 'service'

/** One VM of the roster. */
export interface Vm {
  readonly id: string
  readonly kind: VmKind
  /** Pool of an engine; name of a plain service; empty for a daemon. */
  readonly group: string
  /** Data centre. */
  readonly zone: string
  /** Base URL, `http://ip:port`. For a daemon, that of its operator port. */
  readonly url: string
  /** Address for connections between daemons, `ip:port`; empty for upstreams. */
  readonly peer: string
  readonly state: 'live' | 'leaving'
}

/** The roster at one point in time. */
export interface RosterSnapshot {
  /** Increases with each change. A snapshot that isn't newer than the last one is ignored. */
  readonly version: number
  readonly vms: readonly Vm[]
}

/** Client of the platform's roster. */
export abstract class Roster {
  /** Reads the current roster. */
  abstract readSnapshot (): Promise<Outcome<RosterSnapshot, CallFailure>>
  /** Closes connections. */
  abstract close (): void
}
