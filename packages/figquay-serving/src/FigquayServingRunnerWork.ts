/** Describes what a runner has been doing, for log lines. */
import type { LogFields } from 'figquay'
import type { FleetRunnerTable } from 'figquay-fleet'

/** Prompts that a log line names. */
const MAX_LOGGED_PROMPTS = 5

/**
 * Describes a runner's speed and load, and the prompts of this daemon that it may have processed since a monotonic time.
 *
 * @example
 * logger.info('stream paused for too long', describeRunnerWork(table, runner.id, nowMs - pauseMs))
 */
export function describeRunnerWork (table: FleetRunnerTable, id: string, sinceMs: number): LogFields {
  const view = table.findView(id)
  if (view === undefined) return {}
  const { slowdown, usualSlowdown, load } = view
  const prompts = table.listInFlight(id).filter(({ sentAtMs, hasOutput, pendingTokens }) => pendingTokens > 0 && (!hasOutput || sentAtMs >= sinceMs))
  return {
    slowdown: roundRatio(slowdown),
    usualSlowdown: usualSlowdown === undefined ? undefined : roundRatio(usualSlowdown),
    requests: load.requests,
    pendingTokens: Math.round(load.pendingTokens),
    recentTokens: Math.round(load.recentTokens),
    prompts: prompts.slice(0, MAX_LOGGED_PROMPTS).map(({ requestId, pendingTokens }) => ({ request: requestId, pendingTokens }))
  }
}

function roundRatio (ratio: number): number {
  return Math.round(ratio * 100) / 100
}
