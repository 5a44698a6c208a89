/** Status reports that daemons serve to operators. */

/** Status of one daemon. */
export interface DaemonStatus {
  /** Id of the daemon. */
  readonly daemon: string
  readonly zone: string
  readonly ready: boolean
  readonly draining: boolean
  /** Unfinished exchanges with callers. */
  readonly activeExchanges: number
  /** Requests waiting for a runner. */
  readonly queueLength: number
  /** Connected peers. */
  readonly peers: readonly string[]
  /** Cells (groups of runners) whose lease the daemon holds; only it sends orders to their runners. */
  readonly cells: readonly string[]
  /** Next offset to read, by log stream. */
  readonly positions: Readonly<Record<string, number>>
  readonly logReachable: boolean
}

/** Status of all daemons. */
export interface StatusReport {
  readonly daemons: readonly DaemonStatus[]
  /** Daemons that did not respond. */
  readonly missing: readonly string[]
}
