/** Speeds of all runners, and what daemons tell each other about them: only figures that changed. Pure except for its clock. */
import { setBounded, type Clock } from 'figquay'
import { boundSlowdown, RunnerSpeed, type SpeedEstimate } from './FigquayFleetRunnerSpeed.js'

/** A reported figure as sent between daemons, in percent; its age, and the slow component that the sender knows (0: none). */
export type SpeedRow = readonly [runner: string, percent: number, ageMs: number, usualPercent: number]

/** A figure that peers are to be told. */
interface SpeedChange {
  readonly runner: string
  readonly slowdown: number
  readonly observedAtMs: number
  readonly notedAtMs: number
  /** Branch that it came from; undefined if a runner reported it to this daemon. */
  readonly branch: string | undefined
}

/** What the fleet was last told of a runner. */
interface ToldFigure {
  readonly slowdown: number
  readonly toldAtMs: number
}

/** Figures that differ by less, as a fraction, count as the same. */
const SAME_FIGURE_FRACTION = 0.1
/** A spell that lasts is told again after this time, in milliseconds: by then the last figure has lost half of its weight. */
const SPELL_REPEAT_MS = 300
/** A figure of a runner whose slow component isn't settled is told again after this time, in milliseconds. */
const UNSETTLED_REPEAT_MS = 250
/** Any figure is told again after this time, in milliseconds, so that daemons that have just started learn of the runner. */
const REPEAT_MS = 10_000
/** Changes are passed on for this long, in milliseconds: the longest interval between two messages to a peer. */
const RETENTION_MS = 1_200
/** Largest age of a figure in a message, in milliseconds; an older one says nothing of the present. */
const MAX_AGE_MS = 60_000
/** Rows of one message, the newest ones: several times what 100 runners need, and 3 KB/s in a fleet of 330 daemons. */
const MAX_ROWS = 64
/** Peers whose messages are counted: more than a daemon exchanges loads with. */
const MAX_PEERS = 1_000
const PERCENT = 100

/** Speeds of runners, by id. */
export class RunnerSpeeds {
  private readonly speeds = new Map<string, RunnerSpeed>()
  private readonly told = new Map<string, ToldFigure>()
  /** Oldest first. */
  private readonly changes: SpeedChange[] = []
  /** Number of changes that were dropped from the front of `changes`. */
  private droppedChanges = 0
  /** By peer: number of changes that it was sent, dropped ones included. */
  private readonly sentCounts = new Map<string, number>()

  private constructor (private readonly clock: Clock) {}

  /**
   * @example
   * const speeds = RunnerSpeeds.create(clock)
   */
  static create (clock: Clock): RunnerSpeeds {
    return new RunnerSpeeds(clock)
  }

  /** Estimates the speed of a runner at a time. */
  estimate (runner: string, nowMs: number): SpeedEstimate {
    return this.speeds.get(runner)?.estimate(nowMs) ?? { slowdown: 1, usualSlowdown: undefined }
  }

  /**
   * Records a figure that a runner has reported to this daemon.
   *
   * @example
   * speeds.noteFigure('runner-1', 1.2)
   */
  noteFigure (runner: string, slowdown: number): void {
    const nowMs = this.clock.readMonotonicMs()
    const bounded = boundSlowdown(slowdown)
    const speed = this.findSpeed(runner)
    const isWorthTelling = this.isWorthTelling(runner, speed, bounded, nowMs)
    speed.addFigure(bounded, nowMs)
    if (isWorthTelling) this.addChange({ runner, slowdown: bounded, observedAtMs: nowMs, notedAtMs: nowMs, branch: undefined })
  }

  /**
   * Applies the rows of a branch: a peer, or a peer and all daemons whose figures it passes on. Rows are ignored that are
   * malformed, no newer than what is known, or of an unknown runner.
   *
   * @example
   * speeds.applyRows('daemon-2', [['runner-1', 300, 20, 120]], (id) => table.findRunner(id) !== undefined)
   */
  applyRows (branch: string, rows: unknown, isKnownRunner: (runner: string) => boolean): void {
    if (!Array.isArray(rows)) return
    const nowMs = this.clock.readMonotonicMs()
    for (const row of rows) if (isSpeedRow(row) && isKnownRunner(row[0])) this.applyRow(branch, row, nowMs)
  }

  private applyRow (branch: string, [runner, percent, ageMs, usualPercent]: SpeedRow, nowMs: number): void {
    const observedAtMs = nowMs - Math.max(0, ageMs)
    const speed = this.findSpeed(runner)
    if (usualPercent > 0) speed.adoptUsual(boundSlowdown(usualPercent / PERCENT))
    if (speed.newestFigure !== undefined && observedAtMs <= speed.newestFigure.observedAtMs) return
    const slowdown = boundSlowdown(percent / PERCENT)
    speed.addFigure(slowdown, observedAtMs)
    this.addChange({ runner, slowdown, observedAtMs, notedAtMs: nowMs, branch })
  }

  /**
   * Makes the rows that a peer hasn't been sent yet, the newest of each runner; those that came from an excluded branch are
   * left out, and older ones if there are too many. A message that is lost loses its rows.
   *
   * @example
   * speeds.takeRows('daemon-2', (branch) => branch !== 'daemon-2')
   */
  takeRows (peer: string, isIncluded: (branch: string | undefined) => boolean): SpeedRow[] {
    const nowMs = this.clock.readMonotonicMs()
    this.dropOldChanges(nowMs)
    const rows = new Map<string, SpeedRow>()
    for (let index = Math.max(0, (this.sentCounts.get(peer) ?? 0) - this.droppedChanges); index < this.changes.length; index += 1) {
      const { runner, slowdown, observedAtMs, branch } = this.changes[index]!
      const { usualSlowdown } = this.estimate(runner, nowMs)
      if (!isIncluded(branch)) continue
      rows.delete(runner)
      rows.set(runner, [runner, Math.round(slowdown * PERCENT), Math.round(nowMs - observedAtMs), Math.round((usualSlowdown ?? 0) * PERCENT)])
    }
    setBounded(this.sentCounts, peer, this.droppedChanges + this.changes.length, MAX_PEERS)
    return [...rows.values()].slice(-MAX_ROWS)
  }

  /** Forgets a runner that was removed. */
  dropRunner (runner: string): void {
    this.speeds.delete(runner)
    this.told.delete(runner)
  }

  private findSpeed (runner: string): RunnerSpeed {
    const known = this.speeds.get(runner)
    if (known !== undefined) return known
    const speed = RunnerSpeed.create()
    this.speeds.set(runner, speed)
    return speed
  }

  private isWorthTelling (runner: string, speed: RunnerSpeed, slowdown: number, nowMs: number): boolean {
    const told = this.told.get(runner)
    if (told === undefined || !isSameFigure(slowdown, told.slowdown)) return true
    const { usualSlowdown } = speed.estimate(nowMs)
    const isInSpell = usualSlowdown !== undefined && !isSameFigure(slowdown, usualSlowdown)
    return nowMs - told.toldAtMs >= (!speed.isSettled ? UNSETTLED_REPEAT_MS : isInSpell ? SPELL_REPEAT_MS : REPEAT_MS)
  }

  private addChange (change: SpeedChange): void {
    this.dropOldChanges(change.notedAtMs)
    this.changes.push(change)
    this.told.set(change.runner, { slowdown: change.slowdown, toldAtMs: change.notedAtMs })
  }

  private dropOldChanges (nowMs: number): void {
    const kept = this.changes.findIndex(({ notedAtMs }) => nowMs - notedAtMs <= RETENTION_MS)
    const dropped = kept === -1 ? this.changes.length : kept
    this.changes.splice(0, dropped)
    this.droppedChanges += dropped
  }
}

function isSameFigure (a: number, b: number): boolean {
  return Math.abs(a - b) <= SAME_FIGURE_FRACTION * Math.max(a, b)
}

/** Whether an item of a peer's message is a speed row. Other versions of the daemon, or bugs, may send anything. */
function isSpeedRow (value: unknown): value is SpeedRow {
  if (!Array.isArray(value)) return false
  const [runner, percent, ageMs, usualPercent] = value as readonly unknown[]
  return typeof runner === 'string' && Number.isFinite(percent) && (percent as number) > 0 && Number.isFinite(ageMs) && (ageMs as number) <= MAX_AGE_MS && Number.isFinite(usualPercent)
}
