/** Views of a running system that daemons give and operators read. */

/** One daemon at a glance. */
export interface DaemonStatus {
  readonly daemon: string
  readonly zone: string
  readonly ready: boolean
  readonly draining: boolean
  readonly activeExchanges: number
  readonly queueLength: number
  readonly peers: readonly string[]
  /** Cells whose runners the daemon orders. */
  readonly cells: readonly string[]
  readonly positions: Readonly<Record<string, number>>
  readonly logReachable: boolean
}

/** All daemons that answered. */
export interface StatusReport {
  readonly daemons: readonly DaemonStatus[]
  readonly missing: readonly string[]
}
