/** The platform's lagging list of VMs. */
import type { CallFailure, Outcome } from 'figquay'

/** What a VM runs. */
export type VmKind = 'daemon' | 'engine' | 'service'

/** One VM of the list. */
export interface Vm {
  readonly id: string
  readonly kind: VmKind
  /** Pool of an engine, name of a plain service, empty for a daemon. */
  readonly group: string
  /** Data centre. */
  readonly zone: string
  /** `http://ip:port` for callers; for a daemon its operator port. */
  readonly url: string
  /** `ip:port` for other daemons; empty for upstreams. */
  readonly peer: string
  readonly state: 'live' | 'leaving'
}

/** The list at one moment. */
export interface RosterPage {
  /** Grows with each change; an older page is ignored. */
  readonly version: number
  readonly vms: readonly Vm[]
}

/** Client of the platform's list of VMs. */
export abstract class Roster {
  /** Reads the list. */
  abstract readPage (): Promise<Outcome<RosterPage, CallFailure>>
  /** Closes connections. */
  abstract close (): void
}
