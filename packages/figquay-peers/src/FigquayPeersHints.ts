/** Soft state that daemons exchange; updates may be delayed, lost or duplicated. */

/** Fields of the hints. An update contains some of them, each with its complete value. */
export interface HintFields {
  /** Position of each log stream, from which peers that cannot reach the log learn that they are behind. */
  readonly positions: Readonly<Record<string, number>>
  /** Requests in flight to each runner; runners without any are omitted. */
  readonly inFlight: Readonly<Record<string, number>>
  /** Prompt tokens of the requests sent to each runner that have not yet returned a first token. */
  readonly pendingPromptTokens: Readonly<Record<string, number>>
  /** Offered request rate of each customer at this daemon, in requests per second. */
  readonly customerDemand: Readonly<Record<string, number>>
  /** Offered request rate of each model at this daemon, in requests per second. */
  readonly modelDemand: Readonly<Record<string, number>>
  /** Version of the runner reports of each cell (group of runners) that this daemon controls and polls on behalf of its peers. */
  readonly cells: Readonly<Record<string, number>>
  /** VMs that this daemon itself knows to be shutting down. */
  readonly leaving: readonly string[]
}

/** Hints of one daemon about its own traffic and observations. */
export interface Hints extends HintFields {
  /** Id of the sender. */
  readonly daemon: string
}

const EMPTY_HINTS: HintFields = { positions: {}, inFlight: {}, pendingPromptTokens: {}, customerDemand: {}, modelDemand: {}, cells: {}, leaving: [] }

/** Hints with the time of their last update. */
export interface ReceivedHints {
  readonly hints: Hints
  /** Monotonic time of receipt, in milliseconds. */
  readonly receivedAtMs: number
}

/** Hints of a peer are ignored when no update has arrived for this long. */
const HINT_TTL_MS = 2_500

/** Latest hints of each peer, with expiry. */
export class HintTable {
  private latestByDaemon: ReadonlyMap<string, ReceivedHints> = new Map()

  /**
   * @example
   * const table = HintTable.create()
   */
  static create (): HintTable {
    return new HintTable()
  }

  /**
   * Merges an update into the known hints of a peer and returns the result.
   *
   * @example
   * const hints = table.mergeFields({ daemon: 'daemon-2', inFlight: { 'engine-1': 3 } }, clock.readMonotonicMs())
   */
  mergeFields (update: Partial<HintFields> & { readonly daemon: string }, nowMs: number): Hints {
    const hints: Hints = { ...EMPTY_HINTS, ...this.latestByDaemon.get(update.daemon)?.hints, ...update }
    this.latestByDaemon = new Map(this.latestByDaemon).set(update.daemon, { hints, receivedAtMs: nowMs })
    return hints
  }

  /** Lists the hints that have not expired. */
  listFresh (nowMs: number): Hints[] {
    return [...this.latestByDaemon.values()].filter((entry) => nowMs - entry.receivedAtMs < HINT_TTL_MS).map((entry) => entry.hints)
  }

  /** Sums the requests that peers have in flight to a runner. */
  sumInFlight (runner: string, nowMs: number): number {
    return this.listFresh(nowMs).reduce((sum, hints) => sum + (hints.inFlight[runner] ?? 0), 0)
  }

  /** Sums the prompt tokens of peers that a runner has yet to process. */
  sumPendingPromptTokens (runner: string, nowMs: number): number {
    return this.listFresh(nowMs).reduce((sum, hints) => sum + (hints.pendingPromptTokens[runner] ?? 0), 0)
  }

  /** Removes expired hints. */
  dropExpired (nowMs: number): void {
    this.latestByDaemon = new Map([...this.latestByDaemon].filter(([, entry]) => nowMs - entry.receivedAtMs < HINT_TTL_MS))
  }
}
