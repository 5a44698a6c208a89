/** Removed runners: earlier announcements don't add them again, and peers are told of their removal. */
import { BEFORE_LOG, type LogPosition } from './FigquayFleetLogPosition.js'
import type { LogProgress } from './FigquayFleetLogProgress.js'
import type { Runner } from './FigquayFleetTypes.js'

/** A removed runner. */
export interface RemovedRunner {
  /** Position of the removal. */
  readonly position: LogPosition
  /** Last announcement before it; undefined if this daemon has read none. */
  readonly runner: Runner | undefined
}

/** More runners than restart in a few weeks. */
const MAX_REMOVED_RUNNERS = 10_000

/** Removals, by runner. */
export class RemovedRunners {
  private readonly removals = new Map<string, RemovedRunner>()

  private constructor (private readonly progress: LogProgress) {}

  /**
   * @example
   * const removed = RemovedRunners.create(progress)
   */
  static create (progress: LogProgress): RemovedRunners {
    return new RemovedRunners(progress)
  }

  find (id: string): RemovedRunner | undefined {
    return this.removals.get(id)
  }

  /** Forgets a removal, as the runner is back. */
  drop (id: string): void {
    this.removals.delete(id)
  }

  /** Remembers a removal; one that is forgotten for it leaves a gap for peers that haven't read it. */
  add (id: string, removal: RemovedRunner): void {
    this.progress.noteChange(removal.position)
    this.removals.delete(id)
    this.removals.set(id, removal)
    if (this.removals.size <= MAX_REMOVED_RUNNERS) return
    const [oldestId, { position }] = this.removals.entries().next().value!
    this.removals.delete(oldestId)
    this.progress.noteGap({ after: BEFORE_LOG, upTo: position })
  }

  /**
   * Remembers the removal of a runner that this daemon doesn't know: peers may know it, if it was announced and removed where
   * this daemon has read the result alone.
   */
  addUnknown (id: string, position: LogPosition): void {
    if ((this.find(id)?.position ?? BEFORE_LOG) <= this.progress.lastGapEnd) this.add(id, { position, runner: undefined })
  }

  /** Removals by position. */
  list (): Array<{ readonly id: string, readonly position: LogPosition }> {
    return Array.from(this.removals, ([id, { position }]) => ({ id, position }))
  }
}
