/** Load that other daemons put on the runners, each branch as it was last told. Pure but for its clock. */
import type { Clock } from 'figquay'

/** Load on a runner. */
export interface RunnerLoad {
  /** Requests that were sent and not finished. */
  readonly requests: number
  /** Prompt tokens of requests that have had no first event. */
  readonly pendingTokens: number
  /** Prompt tokens sent of late, the newest counting most: work that breaks into the streams there. */
  readonly recentTokens: number
}

/** Load of a runner on the wire between daemons. */
export type LoadRow = readonly [runner: string, requests: number, pendingTokens: number, recentTokens: number]

interface Branch {
  readonly loads: ReadonlyMap<string, RunnerLoad>
  readonly receivedAtMs: number
}

/** What was told by a daemon that has said nothing more for this long is dropped, in milliseconds: several intervals of telling. */
export const HINT_EXPIRES_MS = 1_500
/** Time after which prompt tokens that were sent count for about a third, in milliseconds: some prompts' processing. */
export const RECENT_DECAY_MS = 1_500
export const NO_LOAD: RunnerLoad = { requests: 0, pendingTokens: 0, recentTokens: 0 }

/**
 * The sum of two loads.
 *
 * @example
 * sumLoads(own, peer).requests
 */
export function sumLoads (a: RunnerLoad, b: RunnerLoad): RunnerLoad {
  return { requests: a.requests + b.requests, pendingTokens: a.pendingTokens + b.pendingTokens, recentTokens: a.recentTokens + b.recentTokens }
}

/** Loads by branch: a branch is one peer, or all that a peer speaks for. */
export class PeerLoads {
  private readonly branches = new Map<string, Branch>()

  private constructor (private readonly clock: Clock) {}

  /**
   * @example
   * const loads = PeerLoads.create(clock)
   */
  static create (clock: Clock): PeerLoads {
    return new PeerLoads(clock)
  }

  /**
   * Replaces what a branch has told.
   *
   * @example
   * loads.putBranch('daemon-2', new Map([['runner-1', load]]))
   */
  putBranch (name: string, loads: ReadonlyMap<string, RunnerLoad>): void {
    this.branches.set(name, { loads, receivedAtMs: this.clock.readMonotonicMs() })
  }

  /** Load on a runner over all branches. */
  sumRunner (runner: string): RunnerLoad {
    const nowMs = this.clock.readMonotonicMs()
    let sum = NO_LOAD
    for (const branch of this.branches.values()) {
      const load = branch.loads.get(runner)
      if (load !== undefined && nowMs - branch.receivedAtMs <= HINT_EXPIRES_MS) sum = sumLoads(sum, ageLoad(load, nowMs - branch.receivedAtMs))
    }
    return sum
  }

  /**
   * Adds the branches that `isWanted` to loads by runner.
   *
   * @example
   * peers.addTo(own, (branch) => branch !== 'daemon-2')
   */
  addTo (loads: Map<string, RunnerLoad>, isWanted: (branch: string) => boolean): void {
    const nowMs = this.clock.readMonotonicMs()
    for (const [name, branch] of this.branches) {
      const ageMs = nowMs - branch.receivedAtMs
      if (ageMs > HINT_EXPIRES_MS) this.branches.delete(name)
      else if (isWanted(name)) {
        for (const [runner, load] of branch.loads) loads.set(runner, sumLoads(loads.get(runner) ?? NO_LOAD, ageLoad(load, ageMs)))
      }
    }
  }
}

function ageLoad (load: RunnerLoad, ageMs: number): RunnerLoad {
  return { ...load, recentTokens: load.recentTokens * Math.exp(-ageMs / RECENT_DECAY_MS) }
}

/** Loads as they are sent. */
export function formatLoads (loads: ReadonlyMap<string, RunnerLoad>): LoadRow[] {
  return [...loads].map(([runner, load]) => [runner, load.requests, Math.round(load.pendingTokens), Math.round(load.recentTokens)])
}

/** Loads as they were sent. */
export function parseLoads (rows: readonly LoadRow[]): Map<string, RunnerLoad> {
  return new Map(rows.map(([runner, requests, pendingTokens, recentTokens]) => [runner, { requests, pendingTokens, recentTokens }]))
}
