/** Human-readable tables of the state of a running system. */
import { formatTable, type StatusReport } from 'figquay-report'

/** Last state that a runner reported, as returned by `runners.list`. */
export interface RunnerReport {
  readonly runner: string
  readonly zone: string
  readonly active: number
  readonly downSinceMs?: number
  readonly state: {
    readonly leaving: boolean
    readonly models: ReadonlyArray<{ readonly id: string, readonly phase: string }>
    readonly adapters: readonly unknown[]
    readonly load: { readonly running: number, readonly waiting: number, readonly stepMs: number, readonly maxBatch: number }
  }
}

/** A runner as a daemon on the users' platform sees it. */
export interface RunnerSpeedReport {
  readonly runner: string
  readonly service: string
  readonly zone: string
  readonly isLeaving: boolean
  readonly isHealthy: boolean
  readonly slowdown: number | null
  readonly usualSlowdown: number | null
  readonly requests: number
  readonly slots: number
  readonly pendingTokens: number
  readonly maxPendingTokens: number | null
  readonly models: readonly string[]
}

/** An order that placement gave to a runner, as returned by `moves.list`. */
export interface MoveRecord {
  readonly at: string
  readonly daemon: string
  readonly action: string
  readonly runner: string
  readonly subject: string
  readonly reason: string
  readonly result: string
}

/**
 * Formats the daemons as a table.
 *
 * @example
 * formatStatus(reply)
 */
export function formatStatus (status: StatusReport): string {
  const rows = status.daemons.map((daemon) => [
    daemon.daemon, daemon.zone, daemon.draining ? 'draining' : daemon.ready ? 'ready' : 'not ready', String(daemon.activeExchanges), String(daemon.queueLength),
    String(daemon.peers.length), daemon.logReachable ? 'yes' : 'no', String(daemon.positions['config'] ?? 0), daemon.cells.join(' ')
  ])
  const missing = status.missing.length === 0 ? '' : `\nno response: ${status.missing.join(', ')}`
  return formatTable(['daemon', 'zone', 'state', 'active', 'waiting', 'peers', 'log', 'config', 'managed cells'], rows) + missing
}

/** Formats the runners as a table. */
export function formatRunners (runners: readonly RunnerReport[]): string {
  const rows = [...runners].sort((a, b) => a.runner < b.runner ? -1 : 1).map((runner) => [
    runner.runner, runner.zone, runner.downSinceMs !== undefined ? 'down' : runner.state.leaving ? 'leaving' : 'up',
    `${runner.active}/${runner.state.load.maxBatch}`, runner.state.load.stepMs.toFixed(1), String(runner.state.adapters.length),
    runner.state.models.map((model) => model.phase === 'ready' ? model.id : `${model.id} (${model.phase})`).join(' ')
  ])
  return formatTable(['runner', 'zone', 'state', 'active', 'step ms', 'adapters', 'models'], rows)
}

/**
 * Formats the runners with their speeds and limits as a table; a model is followed by the number of its copies.
 *
 * @example
 * formatRunnerSpeeds(reports)
 */
export function formatRunnerSpeeds (runners: readonly RunnerSpeedReport[]): string {
  const copies = new Map<string, number>()
  for (const model of runners.flatMap(({ models }) => models)) copies.set(model, (copies.get(model) ?? 0) + 1)
  const formatRatio = (ratio: number | null): string => ratio === null ? '-' : ratio.toFixed(2)
  const rows = [...runners].sort((a, b) => a.service === b.service ? (a.runner < b.runner ? -1 : 1) : a.service < b.service ? -1 : 1).map((runner) => [
    runner.runner, runner.service, runner.zone, runner.isLeaving ? 'leaving' : runner.isHealthy ? 'up' : 'unhealthy', formatRatio(runner.usualSlowdown), formatRatio(runner.slowdown),
    `${runner.requests}/${runner.slots}`, `${runner.pendingTokens}/${runner.maxPendingTokens ?? '-'}`, runner.models.map((model) => `${model} (${copies.get(model)})`).join(' ')
  ])
  return formatTable(['runner', 'service', 'zone', 'state', 'usual time', 'time now', 'active', 'pending tokens', 'models (copies)'], rows)
}

/** Formats the copies of each model as a table. */
export function formatModels (runners: readonly RunnerReport[]): string {
  const copies = new Map<string, string[]>()
  for (const runner of runners) {
    for (const model of runner.state.models) {
      const location = model.phase === 'ready' ? runner.runner : `${runner.runner} (${model.phase})`
      copies.set(model.id, [...copies.get(model.id) ?? [], location])
    }
  }
  const rows = [...copies].sort(([a], [b]) => a < b ? -1 : 1).map(([id, locations]) => [id, String(locations.length), locations.sort().join(' ')])
  return formatTable(['model', 'copies', 'runners'], rows)
}

/** Formats placement orders as a table. */
export function formatMoves (moves: readonly MoveRecord[]): string {
  return formatTable(['at', 'daemon', 'action', 'runner', 'subject', 'result', 'why'], moves.map((move) => [move.at, move.daemon, move.action, move.runner, move.subject, move.result, move.reason]))
}

/** Formats the trace of a request as a table. */
export function formatTrace (events: ReadonlyArray<{ readonly at: string, readonly daemon: string, readonly event: string, readonly detail: string }>): string {
  if (events.length === 0) return 'no daemon has a trace of the request'
  return formatTable(['at', 'daemon', 'event', 'detail'], events.map((event) => [event.at, event.daemon, event.event, event.detail]))
}

/** Formats configuration changes and their verdicts as a table. */
export function formatHistory (verdicts: ReadonlyArray<{ readonly at: number, readonly offset: number, readonly changeId: string, readonly author: string, readonly verdict: string, readonly reason: string, readonly keys: readonly string[] }>): string {
  const rows = verdicts.map((verdict) => [new Date(verdict.at).toISOString(), String(verdict.offset), verdict.changeId, verdict.author, verdict.verdict, verdict.reason === '' ? `${verdict.keys.length} documents` : verdict.reason])
  return formatTable(['at', 'offset', 'change', 'author', 'ruling', 'what'], rows)
}
