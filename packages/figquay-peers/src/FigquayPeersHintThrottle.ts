/** Limits hint traffic: a field is sent when it changes, at a limited rate, and periodically. */
import type { HintFields, Hints } from './FigquayPeersHints.js'

/** Minimum interval between two updates of a field; with 0 a change is sent at once. */
const MIN_SEND_INTERVAL_MS: Readonly<Record<keyof HintFields, number>> = {
  positions: 900,
  inFlight: 900,
  pendingPromptTokens: 900,
  customerDemand: 900,
  modelDemand: 1_900,
  cells: 0,
  leaving: 0
}

/** Every field is sent at least this often, for peers that missed an update. */
const REFRESH_INTERVAL_MS = 4_000
/** A message is sent at least this often, possibly without fields, so that peers do not expire unchanged hints. */
const HEARTBEAT_INTERVAL_MS = 900

interface SentField {
  readonly text: string
  readonly sentAtMs: number
}

/** Selects the fields of the hints that are due, and keeps track of what was sent. */
export class HintThrottle {
  private readonly sentFields = new Map<keyof HintFields, SentField>()
  private lastSentAtMs = Number.NEGATIVE_INFINITY

  /**
   * @example
   * const throttle = HintThrottle.create()
   */
  static create (): HintThrottle {
    return new HintThrottle()
  }

  /**
   * Selects the fields to send now; undefined if no message is due. The selected fields count as sent.
   *
   * @example
   * const update = throttle.selectDueFields(hints, clock.readMonotonicMs())
   */
  selectDueFields (hints: Hints, nowMs: number): Partial<HintFields> & { readonly daemon: string } | undefined {
    const keys = Object.keys(MIN_SEND_INTERVAL_MS) as Array<keyof HintFields>
    const due = keys.filter((key) => this.isDue(key, hints, nowMs))
    if (due.length === 0 && nowMs - this.lastSentAtMs < HEARTBEAT_INTERVAL_MS) return undefined
    this.lastSentAtMs = nowMs
    for (const key of due) this.sentFields.set(key, { text: JSON.stringify(hints[key]), sentAtMs: nowMs })
    return { daemon: hints.daemon, ...Object.fromEntries(due.map((key) => [key, hints[key]])) }
  }

  private isDue (key: keyof HintFields, hints: Hints, nowMs: number): boolean {
    const lastSent = this.sentFields.get(key)
    if (lastSent === undefined) return true
    const elapsedMs = nowMs - lastSent.sentAtMs
    if (elapsedMs >= REFRESH_INTERVAL_MS) return true
    return elapsedMs >= MIN_SEND_INTERVAL_MS[key] && lastSent.text !== JSON.stringify(hints[key])
  }
}
