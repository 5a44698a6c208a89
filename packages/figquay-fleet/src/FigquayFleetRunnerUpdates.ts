/** Short-lived updates about runners, for every daemon. What applies for longer is a fact (`FigquayFleetFacts`). */
import type { Clock } from 'figquay'
import type { LoadedModel, Holdings } from './FigquayFleetTypes.js'

/** What a runner has loaded, as read by the leader. */
export interface HoldingsUpdate {
  readonly type: 'holdings'
  readonly runner: string
  readonly bornMs: number
  readonly holdings: Holdings
  /** Fencing token of the leader; an update with a higher one is newer. */
  readonly fence: number
  /** Sequence number of the leader's updates; under the same fencing token, an update with a higher one is newer. */
  readonly serial: number
}

/** A runner is leaving, as reported by itself or by its announcement. */
export interface LeavingUpdate {
  readonly type: 'leaving'
  readonly runner: string
  /** Start time of the runner process that is leaving. */
  readonly bornMs: number
}

/** A brittle runner has declined a request for want of room: no daemon is to send it requests for a while. */
export interface BackoffUpdate {
  readonly type: 'backoff'
  readonly runner: string
  readonly bornMs: number
  readonly durationMs: number
  /** Time of the decline, in Unix milliseconds; a later one is newer. */
  readonly atMs: number
}

export type RunnerUpdate = HoldingsUpdate | LeavingUpdate | BackoffUpdate

/**
 * Whether an item of a peer's message is a runner update. Other versions of the daemon, or bugs, may send anything.
 *
 * @example
 * items.filter(isRunnerUpdate)
 */
export function isRunnerUpdate (value: unknown): value is RunnerUpdate {
  if (typeof value !== 'object' || value === null) return false
  const { type, runner, bornMs, holdings, fence, serial, durationMs, atMs } = value as Record<string, unknown>
  if (typeof runner !== 'string' || typeof bornMs !== 'number') return false
  if (type === 'backoff') return typeof durationMs === 'number' && typeof atMs === 'number'
  return type === 'leaving' || (type === 'holdings' && typeof fence === 'number' && typeof serial === 'number' && isHoldings(holdings))
}

function isHoldings (value: unknown): value is Holdings {
  if (typeof value !== 'object' || value === null) return false
  const { models, coming, inMemory, onDisk } = value as Record<string, unknown>
  return [coming, inMemory, onDisk].every(Array.isArray) && Array.isArray(models) &&
    models.every((held: unknown) => typeof (held as LoadedModel | null)?.name === 'string' && Array.isArray((held as LoadedModel).adapters))
}

interface UpdateEntry {
  readonly update: RunnerUpdate
  /** Sequence number of this update among those that this daemon has added. */
  readonly revision: number
  readonly addedAtMs: number
}

/** Updates for a peer. */
export interface RunnerUpdateBatch {
  /** The oldest ones that it lacks. */
  readonly updates: readonly RunnerUpdate[]
  /** Revision up to which it is up to date once it has them. */
  readonly revision: number
}

/** Updates are passed on for this long, in milliseconds; by then the runners' own announcements contain them. */
const RETENTION_MS = 10_000

/** Recent updates that one daemon knows, the newest of each type per runner. */
export class RunnerUpdateBuffer {
  private readonly entries = new Map<string, UpdateEntry>()
  private latestRevision = 0

  private constructor (private readonly clock: Clock) {}

  /**
   * @example
   * const updates = RunnerUpdateBuffer.create(clock)
   */
  static create (clock: Clock): RunnerUpdateBuffer {
    return new RunnerUpdateBuffer(clock)
  }

  /** Revision of the newest update. */
  get revision (): number {
    return this.latestRevision
  }

  /**
   * Adds an update; returns false if it, or a newer one with the same type and runner, is known already.
   *
   * @example
   * if (updates.addUpdate(update)) table.putHoldings(update.runner, update.bornMs, update.holdings)
   */
  addUpdate (update: RunnerUpdate): boolean {
    const key = makeUpdateKey(update)
    const known = this.entries.get(key)?.update
    if (known !== undefined && !isNewer(update, known)) return false
    this.latestRevision += 1
    this.entries.delete(key)
    this.entries.set(key, { update, revision: this.latestRevision, addedAtMs: this.clock.readMonotonicMs() })
    return true
  }

  /**
   * Updates after a revision, as many as one message holds: what a peer missed while it wasn't reached mustn't make the
   * messages to it so large that they are late, and it misses more.
   *
   * @example
   * const { updates, revision } = buffer.listBatch(ackedRevision, 24)
   */
  listBatch (after: number, maxCount: number): RunnerUpdateBatch {
    const updates = this.listEntriesAfter(after)
    const last = updates[maxCount - 1]
    const isWhole = updates.length <= maxCount || last === undefined
    return { updates: updates.slice(0, maxCount).map(({ update }) => update), revision: isWhole ? this.latestRevision : last.revision }
  }

  /** Updates after a revision, oldest first. */
  listAfter (revision: number): RunnerUpdate[] {
    return this.listEntriesAfter(revision).map(({ update }) => update)
  }

  private listEntriesAfter (revision: number): UpdateEntry[] {
    const oldestMs = this.clock.readMonotonicMs() - RETENTION_MS
    for (const [key, entry] of this.entries) {
      if (entry.addedAtMs >= oldestMs) break
      this.entries.delete(key)
    }
    return [...this.entries.values()].filter((entry) => entry.revision > revision)
  }
}

/** Of updates with the same key, only the newest is kept. */
function makeUpdateKey (update: RunnerUpdate): string {
  return `${update.type}\n${update.runner}`
}

function isNewer (update: RunnerUpdate, known: RunnerUpdate): boolean {
  if (update.type === 'leaving' && known.type === 'leaving') return update.bornMs > known.bornMs
  if (update.type === 'backoff' && known.type === 'backoff') return update.atMs > known.atMs
  if (update.type !== 'holdings' || known.type !== 'holdings') return false
  return update.fence === known.fence ? update.serial > known.serial : update.fence > known.fence
}
