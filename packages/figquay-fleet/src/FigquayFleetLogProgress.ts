/**
 * How far a daemon has read the registry's log, and what it can vouch for. Pure: no clock, no I/O.
 *
 * Load pattern: a daemon starts while others run on, and reads the newest record of each key. Records that were removed before
 * have left no trace there, so its position says nothing of them to a daemon that still knows them.
 */
import { BEFORE_LOG, readEra, type LogPosition } from './FigquayFleetLogPosition.js'

/** A part of the log of which only the result was read: what was added after the first position and removed up to the second one left no trace. */
export interface LogGap {
  readonly after: LogPosition
  readonly upTo: LogPosition
}

/** Gaps that are kept apart; older ones are joined, which has a peer that is far behind compare more than it needs to. */
const MAX_GAPS = 8

/** Position, last change and gaps of one daemon's copy of the registry. */
export class LogProgress {
  private highestPosition = BEFORE_LOG
  private newestChangePosition = BEFORE_LOG
  private previousEraPosition = BEFORE_LOG
  /** Disjoint, by position. */
  private gaps: readonly LogGap[] = []

  private constructor () {}

  /**
   * @example
   * const progress = LogProgress.create()
   */
  static create (): LogProgress {
    return new LogProgress()
  }

  /** Highest position that was applied. */
  get position (): LogPosition {
    return this.highestPosition
  }

  /** Position of the last change other than a heartbeat, or up to which there may have been one. */
  get lastChangePosition (): LogPosition {
    return this.newestChangePosition
  }

  /** Position that was reached in the previous era of the log; `BEFORE_LOG` if there was none. */
  get lastEraPosition (): LogPosition {
    return this.previousEraPosition
  }

  /** Position up to which there may be something that this copy has no trace of; `BEFORE_LOG` if there are no gaps. */
  get lastGapEnd (): LogPosition {
    return this.gaps.at(-1)?.upTo ?? BEFORE_LOG
  }

  /** Gaps in what was read, by position. */
  get listedGaps (): readonly LogGap[] {
    return this.gaps
  }

  /** Advances the position up to which the log was read. */
  advance (position: LogPosition): void {
    if (readEra(position) > readEra(this.highestPosition)) {
      this.previousEraPosition = this.highestPosition
      // Positions of two eras can't tell peers what they lack, so the era itself counts as a change.
      this.noteChange(position)
    }
    this.highestPosition = Math.max(this.highestPosition, position)
  }

  /** Notes a change at a position. */
  noteChange (position: LogPosition): void {
    this.newestChangePosition = Math.max(this.newestChangePosition, position)
  }

  /**
   * Notes that of a part of the log only the result was read. It counts as a change: peers that have read less must not take
   * it for heartbeats.
   *
   * @example
   * progress.noteGap({ after: progress.position, upTo: 812 })
   */
  noteGap ({ after, upTo }: LogGap): void {
    if (upTo <= after) return
    this.noteChange(upTo)
    const joined: LogGap[] = []
    for (const gap of [...this.gaps, { after, upTo }].sort((a, b) => a.after - b.after)) {
      const last = joined.at(-1)
      if (last !== undefined && gap.after < last.upTo) joined[joined.length - 1] = { after: last.after, upTo: Math.max(last.upTo, gap.upTo) }
      else joined.push(gap)
    }
    if (joined.length > MAX_GAPS) joined.splice(0, 2, { after: joined[0]!.after, upTo: joined[1]!.upTo })
    this.gaps = joined
  }

  /**
   * Whether every removal after a position is known, as far as it concerns what was listed at that position. Where a gap
   * begins, that is so: what was listed there and is no longer has been found missing.
   *
   * @example
   * if (!progress.isCovered(requested)) return listAll()
   */
  isCovered (position: LogPosition): boolean {
    return !this.gaps.some(({ after, upTo }) => after < position && position < upTo)
  }
}
