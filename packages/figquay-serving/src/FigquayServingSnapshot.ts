/** Snapshots of the list of runners between daemons: what a peer lacks, also after the store was restored from an older copy. */
import { BEFORE_LOG, decodePosition, encodePosition, readEra, type EncodedPosition, type Fact, type FleetRunnerTable, type LogGap, type LogPosition, type Runner } from 'figquay-fleet'
import type { VersionAnnouncement } from './FigquayServingConfigurationSync.js'
import type { DaemonList } from './FigquayServingDaemonRecords.js'
import type { StoreReadReport } from './FigquayServingNewestStoreRead.js'

/** State that a daemon sends to one that can't read the store or lags behind, and when it was read from the store; the configuration is sent by `ConfigurationSource`. */
export interface FleetSnapshot extends StoreReadReport, DaemonList {
  readonly runners: ReadonlyArray<EncodedPosition & { readonly runner: Runner }>
  readonly removals: ReadonlyArray<EncodedPosition & { readonly id: string, readonly graceMs: number }>
  /** The runners are all that the sender knows: others were lost with a restore of the store. */
  readonly isComplete?: boolean
  /** Ids of all runners that the sender knows, for a requester of which it can't tell the removals: others are gone. */
  readonly listedIds?: readonly string[]
  /** Parts of the list's log of which the sender has read the result alone; missing from a daemon that keeps none. */
  readonly gaps?: ReadonlyArray<{ readonly after: EncodedPosition, readonly upTo: EncodedPosition }>
  /** Era of the offset below; missing from a daemon that knows no eras. */
  readonly era?: number
  /** Offset up to which the sender has read the list of runners. */
  readonly position: number
  /** Versions of the configuration that the sender has and knows of; missing from a daemon of an older release. */
  readonly configurationVersions?: VersionAnnouncement
  /** Undefined if they weren't requested, or while the sender hasn't loaded them itself. */
  readonly facts: readonly Fact[] | undefined
}

/** Request for a snapshot. */
export interface SnapshotRequest {
  /** Era of the offset below; missing from a daemon that knows no eras. */
  readonly era?: number
  /** Offset up to which the requester has read the list of runners. */
  readonly position: number
  /** Whether it has no facts yet; later it reconciles them by their digest. */
  readonly needsFacts: boolean
  /** Whether it drops runners that aren't among the listed ids; missing from a daemon that doesn't know them. */
  readonly acceptsIds?: boolean
  /** Digest of the daemons that it knows: the same list isn't sent; missing from a daemon of an older release, which always gets it. */
  readonly daemonsDigest?: string
}

/** How far a peer has read the store. */
export interface PeerProgress {
  /** Position up to which the peer has read the list of runners. */
  readonly position: LogPosition
  /** Position of the last change in that list, heartbeats excluded. */
  readonly changedAt: LogPosition
  /** Number of daemons that the peer knows. */
  readonly daemonCount: number
}

/**
 * Decodes how far a peer has read the store from one of its messages.
 *
 * @example
 * decodeProgress({ era: 2, position: 7, changedAt: 5, daemonCount: 8 })
 */
export function decodeProgress ({ era, position, changedAt, daemonCount }: EncodedPosition & Pick<PeerProgress, 'changedAt' | 'daemonCount'>): PeerProgress {
  return { position: decodePosition({ era, position }), changedAt: decodePosition({ era, position: changedAt }), daemonCount }
}

/** The part of a snapshot that concerns runners. */
type RunnerSnapshot = Pick<FleetSnapshot, 'runners' | 'removals' | 'isComplete' | 'listedIds' | 'gaps' | 'era' | 'position'>

/** Whether a daemon that has read up to a position knows nothing that this one has neither read nor seen replaced by a restore. */
function isCovered (table: FleetRunnerTable, position: LogPosition): boolean {
  const { position: own, lastEraPosition } = table
  return readEra(position) === readEra(own) || (readEra(position) === readEra(lastEraPosition) && position <= lastEraPosition)
}

/**
 * Makes a snapshot of what is newer than the requester's position, or of everything if it may know runners that a restore has
 * lost. A requester that may know runners whose removal left no trace here gets the ids of all runners, too; undefined for one
 * that wouldn't take them.
 *
 * @example
 * makeRunnerSnapshot(table, { era: 2, position: 812, acceptsIds: true })
 */
export function makeRunnerSnapshot (table: FleetRunnerTable, { acceptsIds = false, ...requested }: EncodedPosition & Pick<SnapshotRequest, 'acceptsIds'>): RunnerSnapshot | undefined {
  // A release that knows no eras gets the difference, as it would from its own.
  const requestedPosition = decodePosition({ era: readEra(table.position), ...requested })
  const isComplete = !isCovered(table, requestedPosition)
  const needsIds = !isComplete && !table.progress.isCovered(requestedPosition)
  if (needsIds && !acceptsIds) return undefined
  const after = isComplete ? BEFORE_LOG : requestedPosition
  return {
    runners: table.listAnnouncements(after).map(({ runner, position }) => ({ runner, ...encodePosition(position) })),
    removals: table.listRemovals(after).map(({ position, ...removal }) => ({ ...removal, ...encodePosition(position) })),
    isComplete,
    ...needsIds ? { listedIds: table.listIds() } : {},
    gaps: table.progress.listedGaps.map(({ after, upTo }) => ({ after: encodePosition(after), upTo: encodePosition(upTo) })),
    ...encodePosition(table.position)
  }
}

/** Grace periods for runners that a snapshot doesn't list or has removed, in milliseconds. */
export interface SnapshotGraces {
  /** For those that the first snapshot of a new era doesn't list; undefined before any list was read. */
  readonly newEraMs: number | undefined
  /** For those whose removal the sender couldn't tell; for others at most, as the sender may take its own trouble for the store's. */
  readonly removedMs: number
}

/**
 * Applies a peer's snapshot, unless the peer has read an older era: it may list runners that are gone. Returns whether it did.
 *
 * @example
 * applyRunnerSnapshot(table, snapshot, { newEraMs: 2_000, removedMs: 0 })
 */
export function applyRunnerSnapshot (table: FleetRunnerTable, snapshot: RunnerSnapshot, { newEraMs, removedMs }: SnapshotGraces): boolean {
  const position = decodePosition(snapshot)
  const previous = table.position
  const isNewEra = readEra(position) > readEra(previous)
  if (readEra(position) < readEra(previous)) return false
  for (const { runner, ...encoded } of snapshot.runners) table.putRunner(runner, decodePosition(encoded))
  for (const { id, graceMs, ...encoded } of snapshot.removals) table.removeRunner(id, decodePosition(encoded), Math.min(graceMs, removedMs))
  if (isNewEra && newEraMs !== undefined && snapshot.isComplete === true) table.removeUnlisted(new Set(snapshot.runners.map(({ runner }) => runner.id)), position, newEraMs)
  if (snapshot.listedIds !== undefined && position > previous) table.removeUnlisted(new Set(snapshot.listedIds), position, removedMs)
  table.advancePosition(position)
  for (const gap of listGaps(snapshot, previous)) table.progress.noteGap(gap)
  return true
}

/** Gaps of a snapshot beyond the receiver's position, which it takes over. One that has read nothing can't tell those of a sender that names none. */
function listGaps ({ gaps, ...encoded }: RunnerSnapshot, previous: LogPosition): LogGap[] {
  const position = decodePosition(encoded)
  if (gaps === undefined) return previous === BEFORE_LOG ? [{ after: BEFORE_LOG, upTo: position }] : []
  return gaps.map(({ after, upTo }) => ({ after: Math.max(previous, decodePosition(after)), upTo: decodePosition(upTo) })).filter(({ after, upTo }) => after < upTo)
}
