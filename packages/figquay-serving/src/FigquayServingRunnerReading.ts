/** Applies what was read of the list of runners from the store to the table of runners. */
import type { FleetRunnerTable, LogPosition, Runner, RunnerRegistryUpdate } from 'figquay-fleet'

/**
 * Applies a reading. A complete one is a list that was read page by page: what was written meanwhile is read once more, with
 * all that lies between, so its entries count as of the position up to which everything was read.
 *
 * @param graceMs Time for which runners are kept whose entries are missing, in milliseconds.
 * @param applyAnnouncement Puts a runner into the table.
 * @example
 * applyRunnerReading(table, reading.value, 0, (runner, position) => table.putRunner(runner, position))
 */
export function applyRunnerReading (table: FleetRunnerTable, { changes, isComplete, position }: RunnerRegistryUpdate, graceMs: number, applyAnnouncement: (runner: Runner, position: LogPosition) => void): void {
  const previous = table.position
  const listedIds = new Set<string>()
  for (const change of changes) {
    const changedAt = Math.min(change.position, position)
    if (change.type === 'removed') {
      table.removeRunner(change.id, changedAt, graceMs)
      continue
    }
    listedIds.add(change.runner.id)
    applyAnnouncement(change.runner, changedAt)
  }
  if (isComplete) table.removeUnlisted(listedIds, position, graceMs)
  table.advancePosition(position)
  // What was removed in between has left no trace in a complete list.
  if (isComplete) table.progress.noteGap({ after: previous, upTo: position })
}
