/**
 * Plans on which runner an adapter is loaded and which one is evicted for it. Pure: no clock, no I/O.
 *
 * It handles these load patterns:
 * - A model has many adapters, each requested occasionally, and more than there are slots.
 * - An adapter is in demand while the runners that hold it are busy. Other runners hold its model, but can't take its
 *   requests.
 */

/** A runner that has the adapter's model loaded. */
export interface AdapterCandidate {
  readonly id: string
  /** Whether the runner can take an adapter order now. */
  readonly isReady: boolean
  /** Adapters of any model that occupy a slot, loading ones included. */
  readonly adapters: readonly HeldAdapter[]
  readonly openRequests: number
}

/** An adapter that occupies a slot of a runner. */
export interface HeldAdapter {
  /** `model/adapter`. */
  readonly key: string
  /** Time since it was last used on this runner, in milliseconds. */
  readonly idleMs: number
  /** Whether other runners hold it as well. */
  readonly hasOtherCopy: boolean
}

/** A runner with its expected delay. */
export interface AdapterLoad {
  /** Time that its pending prompts take, in seconds, plus the fraction of its slots in use. */
  readonly busyness: number
}

/** Where an adapter is loaded, and which other one is evicted first. */
export interface AdapterPlanStep {
  readonly runner: string
  /** `model/adapter` to unload first; undefined if a slot is free. */
  readonly evicted: string | undefined
}

/** An adapter is not evicted within this time of its last use, in milliseconds: requests in flight may need it. */
const RECENT_USE_MS = 1_000
/** An adapter with other copies goes as if it had been idle for this many times as long. */
const OTHER_COPY_IDLE_FACTOR = 4
/** The only copy of an adapter makes way for a further copy of another one after this time without use, in milliseconds. */
const MIN_IDLE_FOR_COPY_MS = 10_000
/** Busyness of all runners that hold an adapter from which on it gets another copy: a quarter of a second, or of the slots. */
const MIN_BUSYNESS_FOR_COPY = 0.25
/** A further copy goes to a runner with at most this fraction of the busyness of those that hold the adapter. */
const MAX_BUSYNESS_FRACTION = 0.5

/**
 * Chooses the runner with a free slot and the fewest adapters. If no slot is free, evicts the adapter that was used least
 * recently on any runner; undefined if all were used recently.
 *
 * @example
 * planAdapter(candidates, 8)
 */
export function planAdapter (candidates: readonly AdapterCandidate[], slots: number): AdapterPlanStep | undefined {
  return findFreeSlot(candidates, slots) ?? findVictim(candidates, RECENT_USE_MS)
}

/**
 * Chooses a runner for a further copy of an adapter; undefined unless all runners that hold it are busy, and one that
 * doesn't is much less so and has a free slot or an adapter that nobody needs there.
 *
 * @param holders Runners that hold the adapter, or load it.
 * @param candidates Runners that hold its model only.
 * @example
 * planAdapterCopy([{ busyness: 1.2 }], candidates, 8)
 */
export function planAdapterCopy (holders: readonly AdapterLoad[], candidates: ReadonlyArray<AdapterCandidate & AdapterLoad>, slots: number): AdapterPlanStep | undefined {
  const leastBusyness = Math.min(...holders.map(({ busyness }) => busyness))
  if (holders.length === 0 || leastBusyness < MIN_BUSYNESS_FOR_COPY) return undefined
  const calmer = candidates.filter(({ busyness }) => busyness <= leastBusyness * MAX_BUSYNESS_FRACTION).sort((a, b) => a.busyness - b.busyness)
  for (const candidate of calmer) {
    const step = findFreeSlot([candidate], slots) ?? findVictim([candidate], MIN_IDLE_FOR_COPY_MS)
    if (step !== undefined) return step
  }
  return undefined
}

function findFreeSlot (candidates: readonly AdapterCandidate[], slots: number): AdapterPlanStep | undefined {
  const [best] = candidates.filter((candidate) => candidate.isReady && candidate.adapters.length < slots)
    .sort((a, b) => a.adapters.length - b.adapters.length || a.openRequests - b.openRequests)
  return best === undefined ? undefined : { runner: best.id, evicted: undefined }
}

/** The adapter that is missed least, if it has not been used for some time. */
function findVictim (candidates: readonly AdapterCandidate[], minIdleMs: number): AdapterPlanStep | undefined {
  const [victim] = candidates.filter(({ isReady }) => isReady)
    .flatMap(({ id, adapters }) => adapters.map((adapter) => ({ id, adapter, weightedIdleMs: adapter.idleMs * (adapter.hasOtherCopy ? OTHER_COPY_IDLE_FACTOR : 1) })))
    .filter(({ adapter, weightedIdleMs }) => adapter.idleMs >= RECENT_USE_MS && weightedIdleMs >= minIdleMs)
    .sort((a, b) => b.weightedIdleMs - a.weightedIdleMs)
  return victim === undefined ? undefined : { runner: victim.id, evicted: victim.adapter.key }
}
