/** Decides which parts of the hints are worth sending: those that changed, and now and then all. */
import type { HintParts, Hints } from './FigquayPeersHints.js'

/** How often a part may be sent at most, in milliseconds. */
const SHORTEST_INTERVAL_MS: Readonly<Record<keyof HintParts, number>> = {
  positions: 900,
  inFlight: 900,
  pendingPromptTokens: 900,
  customerDemand: 900,
  modelDemand: 1_900,
  cells: 0,
  leaving: 0
}

/** Every part is sent at least this often, for peers that have missed some, in milliseconds. */
const REFRESH_MS = 4_000
/** Something is sent at least this often, so that peers know that the rest still holds, in milliseconds. */
const SIGN_OF_LIFE_MS = 900

interface SentPart {
  readonly text: string
  readonly sentAtMs: number
}

/** Chooses what goes out. */
export class HintSender {
  private readonly sent = new Map<keyof HintParts, SentPart>()
  private lastAtMs = Number.NEGATIVE_INFINITY

  /**
   * @example
   * const sender = HintSender.create()
   */
  static create (): HintSender {
    return new HintSender()
  }

  /**
   * The parts to send now; undefined when nothing is.
   *
   * @example
   * const update = sender.selectParts(hints, clock.readMonotonicMs())
   */
  selectParts (hints: Hints, nowMs: number): Partial<HintParts> & { readonly daemon: string } | undefined {
    const keys = Object.keys(SHORTEST_INTERVAL_MS) as Array<keyof HintParts>
    const due = keys.filter((key) => this.isDue(key, hints, nowMs))
    if (due.length === 0 && nowMs - this.lastAtMs < SIGN_OF_LIFE_MS) return undefined
    this.lastAtMs = nowMs
    for (const key of due) this.sent.set(key, { text: JSON.stringify(hints[key]), sentAtMs: nowMs })
    return { daemon: hints.daemon, ...Object.fromEntries(due.map((key) => [key, hints[key]])) }
  }

  private isDue (key: keyof HintParts, hints: Hints, nowMs: number): boolean {
    const last = this.sent.get(key)
    if (last === undefined) return true
    const elapsedMs = nowMs - last.sentAtMs
    if (elapsedMs >= REFRESH_MS) return true
    return elapsedMs >= SHORTEST_INTERVAL_MS[key] && last.text !== JSON.stringify(hints[key])
  }
}
