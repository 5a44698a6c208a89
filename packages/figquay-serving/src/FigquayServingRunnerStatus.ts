/** State of the runners as one daemon sees them, for operators. No clock, no I/O. */
import { computeTokenBudget, type FleetConfiguration, type PaceTerms, type Route, type RunnerView } from 'figquay-fleet'

/** A runner as a daemon sees it. */
export interface RunnerStatus {
  readonly runner: string
  readonly service: string
  readonly zone: string
  readonly isLeaving: boolean
  readonly isHealthy: boolean
  /** How long its work takes now, and apart from spells of slow work, relative to the usual; null if it reports nothing. */
  readonly slowdown: number | null
  readonly usualSlowdown: number | null
  readonly requests: number
  readonly slots: number
  readonly pendingTokens: number
  /** Prompt tokens that it may have pending within its budget; null for a plain service. */
  readonly maxPendingTokens: number | null
  readonly models: readonly string[]
}

/** Classes of runners by their speed apart from spells of slow work. */
export const SPEED_CLASSES = ['fast', 'usual', 'slow', 'unknown'] as const
export type SpeedClass = typeof SPEED_CLASSES[number]

/** Bounds of the class `usual`. */
const MIN_USUAL_SLOWDOWN = 0.8
const MAX_USUAL_SLOWDOWN = 1.25
/** Work that takes this many times as long as apart from spells shows that the runner is in a spell. */
const SPELL_RATIO = 1.5

/** Terms of the streams of a service: the strictest pause and the shortest objective of its routes. */
function findTerms (routes: readonly Route[], service: string): PaceTerms {
  const own = routes.filter(({ isStream, targets }) => isStream && targets.some((target) => target.service === service))
  const pauses = own.map(({ maxPauseMs }) => maxPauseMs).filter((maxPauseMs) => maxPauseMs > 0)
  return { maxPauseMs: pauses.length === 0 ? undefined : Math.min(...pauses), objectiveMs: Math.min(...own.map(({ objectiveMs }) => objectiveMs)) }
}

function roundRatio (ratio: number): number {
  return Math.round(ratio * 100) / 100
}

/**
 * Lists the runners of all services.
 *
 * @example
 * listRunnerStatus(configurations.current, (service) => table.listViews(service))
 */
export function listRunnerStatus (configuration: FleetConfiguration | undefined, listViews: (service: string) => readonly RunnerView[]): RunnerStatus[] {
  if (configuration === undefined) return []
  return [...configuration.services.values()].flatMap(({ name, engine }) => {
    const terms = findTerms(configuration.routes, name)
    return listViews(name).map(({ runner, load, isHealthy, slowdown, usualSlowdown }): RunnerStatus => {
      const maxPendingTokens = engine === undefined ? Number.POSITIVE_INFINITY : computeTokenBudget(slowdown, terms)
      return {
        runner: runner.id,
        service: name,
        zone: runner.zone,
        isLeaving: runner.isLeaving,
        isHealthy,
        slowdown: usualSlowdown === undefined ? null : roundRatio(slowdown),
        usualSlowdown: usualSlowdown === undefined ? null : roundRatio(usualSlowdown),
        requests: load.requests,
        slots: runner.slots,
        pendingTokens: Math.round(load.pendingTokens),
        maxPendingTokens: Number.isFinite(maxPendingTokens) ? maxPendingTokens : null,
        models: runner.holdings?.models.map((model) => model.name) ?? []
      }
    })
  })
}

/** Determines the class of a runner by its speed. */
export function classifySpeed ({ usualSlowdown }: Pick<RunnerStatus, 'usualSlowdown'>): SpeedClass {
  if (usualSlowdown === null) return 'unknown'
  return usualSlowdown < MIN_USUAL_SLOWDOWN ? 'fast' : usualSlowdown > MAX_USUAL_SLOWDOWN ? 'slow' : 'usual'
}

/** Whether a runner is in a spell of slow work. */
export function isInSpell ({ slowdown, usualSlowdown }: Pick<RunnerStatus, 'slowdown' | 'usualSlowdown'>): boolean {
  return slowdown !== null && usualSlowdown !== null && slowdown > SPELL_RATIO * usualSlowdown
}
