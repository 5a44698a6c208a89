/** Load that other daemons put on the runners, as each branch last reported it. Pure except for its clock. */
import type { Clock } from 'figquay'

/** Load on a runner. */
export interface RunnerLoad {
  /** Requests in flight. */
  readonly requests: number
  /** Prompt tokens of requests that have produced no output yet. */
  readonly pendingTokens: number
  /** Recently sent prompt tokens, exponentially decayed: their processing interrupts the streams on the runner. */
  readonly recentTokens: number
  /** Pending tokens that the runner has probably processed since the daemons that sent them reported them; missing if there are none. */
  readonly processedTokens?: number | undefined
}

/** Load of a runner as sent between daemons. */
export type LoadRow = readonly [runner: string, requests: number, pendingTokens: number, recentTokens: number]

interface BranchLoads {
  readonly loads: ReadonlyMap<string, RunnerLoad>
  readonly receivedAtMs: number
}

/** Hints from a daemon expire after this time without new ones, in milliseconds: several hint intervals. */
export const HINT_TTL_MS = 1_500
/** Time constant of the exponential decay of recent prompt tokens, in milliseconds: the processing time of a few prompts. */
export const RECENT_TOKENS_DECAY_MS = 1_500
/** Time constant with which prompt tokens that peers reported as pending are processed, in milliseconds: the processing time of one prompt. */
const PENDING_TOKENS_DECAY_MS = 150
export const ZERO_LOAD: RunnerLoad = { requests: 0, pendingTokens: 0, recentTokens: 0 }

/**
 * Sum of two loads.
 *
 * @example
 * sumLoads(own, peer).requests
 */
export function sumLoads (a: RunnerLoad, b: RunnerLoad): RunnerLoad {
  return { requests: a.requests + b.requests, pendingTokens: a.pendingTokens + b.pendingTokens, recentTokens: a.recentTokens + b.recentTokens, processedTokens: (a.processedTokens ?? 0) + (b.processedTokens ?? 0) }
}

/** Loads by branch: a branch is one peer, or a peer and all daemons whose loads it aggregates. */
export class PeerLoads {
  private readonly branches = new Map<string, BranchLoads>()

  private constructor (private readonly clock: Clock) {}

  /**
   * @example
   * const loads = PeerLoads.create(clock)
   */
  static create (clock: Clock): PeerLoads {
    return new PeerLoads(clock)
  }

  /**
   * Replaces the loads that a branch has reported.
   *
   * @example
   * loads.replaceBranch('daemon-2', new Map([['runner-1', load]]))
   */
  replaceBranch (name: string, loads: ReadonlyMap<string, RunnerLoad>): void {
    this.branches.set(name, { loads, receivedAtMs: this.clock.readMonotonicMs() })
  }

  /** Load on a runner, summed over all branches. */
  sumRunnerLoad (runner: string): RunnerLoad {
    const nowMs = this.clock.readMonotonicMs()
    let sum = ZERO_LOAD
    for (const branch of this.branches.values()) {
      const load = branch.loads.get(runner)
      if (load !== undefined && nowMs - branch.receivedAtMs <= HINT_TTL_MS) sum = sumLoads(sum, decayLoad(load, nowMs - branch.receivedAtMs))
    }
    return sum
  }

  /**
   * Adds the loads of the branches that `isIncluded` selects to `loads`.
   *
   * @example
   * peers.addLoadsTo(own, (branch) => branch !== 'daemon-2')
   */
  addLoadsTo (loads: Map<string, RunnerLoad>, isIncluded: (branch: string) => boolean): void {
    const nowMs = this.clock.readMonotonicMs()
    for (const [name, branch] of this.branches) {
      const ageMs = nowMs - branch.receivedAtMs
      if (ageMs > HINT_TTL_MS) this.branches.delete(name)
      else if (isIncluded(name)) {
        for (const [runner, load] of branch.loads) loads.set(runner, sumLoads(loads.get(runner) ?? ZERO_LOAD, decayLoad(load, ageMs)))
      }
    }
  }
}

function decayLoad ({ requests, pendingTokens, recentTokens }: RunnerLoad, ageMs: number): RunnerLoad {
  return { requests, pendingTokens, recentTokens: recentTokens * Math.exp(-ageMs / RECENT_TOKENS_DECAY_MS), processedTokens: pendingTokens * (1 - Math.exp(-ageMs / PENDING_TOKENS_DECAY_MS)) }
}

/** Encodes loads for sending to a peer. */
export function formatLoads (loads: ReadonlyMap<string, RunnerLoad>): LoadRow[] {
  return [...loads].map(([runner, load]) => [runner, load.requests, Math.round(load.pendingTokens), Math.round(load.recentTokens)])
}

/** Decodes loads received from a peer. */
export function parseLoads (rows: readonly LoadRow[]): Map<string, RunnerLoad> {
  return new Map(rows.map(([runner, requests, pendingTokens, recentTokens]) => [runner, { requests, pendingTokens, recentTokens }]))
}
