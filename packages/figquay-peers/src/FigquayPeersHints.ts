/** Soft state that daemons tell each other; it may be late, lost or doubled. */

/** Parts of the hints; each is sent whole or not at all. */
export interface HintParts {
  /** Position of each followed stream, so that a daemon cut off from the log can catch up. */
  readonly positions: Readonly<Record<string, number>>
  /** Requests in flight to each runner, none left out but zeroes. */
  readonly inFlight: Readonly<Record<string, number>>
  /** Prompt tokens sent to each runner for which no first token has come back. */
  readonly pendingPromptTokens: Readonly<Record<string, number>>
  /** Requests per second of each customer that this daemon was asked to serve. */
  readonly customerDemand: Readonly<Record<string, number>>
  /** Requests per second of each model. */
  readonly modelDemand: Readonly<Record<string, number>>
  /** Version of the reports of each cell whose runners this daemon orders and watches for all. */
  readonly cells: Readonly<Record<string, number>>
  /** VMs known to be leaving. */
  readonly leaving: readonly string[]
}

/** What one daemon sees of its own traffic at one moment. */
export interface Hints extends HintParts {
  /** Sender. */
  readonly daemon: string
}

const NO_HINTS: HintParts = { positions: {}, inFlight: {}, pendingPromptTokens: {}, customerDemand: {}, modelDemand: {}, cells: {}, leaving: [] }

/** Hints with the time at which they came in. */
export interface ReceivedHints {
  readonly hints: Hints
  /** Monotonic time of receipt, in milliseconds. */
  readonly receivedAtMs: number
}

/** Hints older than this say nothing any more, in milliseconds. */
const HINTS_EXPIRE_MS = 2_500

/** Latest hints of each peer. */
export class HintTable {
  private latest: ReadonlyMap<string, ReceivedHints> = new Map()

  /**
   * @example
   * const table = HintTable.create()
   */
  static create (): HintTable {
    return new HintTable()
  }

  /**
   * Notes the parts that a peer has sent and returns all that is known of it now.
   *
   * @example
   * const hints = table.putParts({ daemon: 'daemon-2', inFlight: { 'engine-1': 3 } }, clock.readMonotonicMs())
   */
  putParts (parts: Partial<HintParts> & { readonly daemon: string }, nowMs: number): Hints {
    const hints: Hints = { ...NO_HINTS, ...this.latest.get(parts.daemon)?.hints, ...parts }
    this.latest = new Map(this.latest).set(parts.daemon, { hints, receivedAtMs: nowMs })
    return hints
  }

  /** Hints that are still fresh. */
  listFresh (nowMs: number): Hints[] {
    return [...this.latest.values()].filter((entry) => nowMs - entry.receivedAtMs < HINTS_EXPIRE_MS).map((entry) => entry.hints)
  }

  /** Requests that peers have in flight to a runner. */
  sumInFlight (runner: string, nowMs: number): number {
    return this.listFresh(nowMs).reduce((sum, hints) => sum + (hints.inFlight[runner] ?? 0), 0)
  }

  /** Prompt tokens of peers that a runner still has to process. */
  sumPendingPromptTokens (runner: string, nowMs: number): number {
    return this.listFresh(nowMs).reduce((sum, hints) => sum + (hints.pendingPromptTokens[runner] ?? 0), 0)
  }

  /** Drops what has expired. */
  dropExpired (nowMs: number): void {
    this.latest = new Map([...this.latest].filter(([, entry]) => nowMs - entry.receivedAtMs < HINTS_EXPIRE_MS))
  }
}
