/**
 * Software versions that have served each service lately. A stream may have been begun by any of them, also by one whose
 * runners have left, and a daemon that starts learns them from facts in the platform's store.
 */
import type { Clock } from 'figquay'
import type { FleetRunnerTable, Runner, VersionFact } from 'figquay-fleet'

/** Options of the history. */
export interface VersionHistoryOptions {
  readonly clock: Clock
  readonly table: FleetRunnerTable
  /** Publishes a fact that outlives every daemon. */
  readonly publishFact: (fact: VersionFact) => void
  /** Whether this daemon is the leader, which alone publishes versions. */
  readonly isLeader: () => boolean
}

/** A version that has had no runner for this long began no stream that callers still resume, in milliseconds: the lifetime of facts. */
const VERSION_MEMORY_MS = 600_000
/** The version of a service that goes on serving is published again after this time, in milliseconds, as its last fact expires. */
const PUBLISH_INTERVAL_MS = 300_000
/** Version of runners whose platform tells none. */
const UNNAMED_VERSION = ''

/** Software versions by service. */
export class VersionHistory {
  /** Monotonic time at which a version was last listed, by service and version. */
  private readonly lastSeenMs = new Map<string, Map<string, number>>()
  private readonly publishedAtMs = new Map<string, number>()
  private readonly listeners = new Set<(service: string) => void>()

  private constructor (private readonly options: VersionHistoryOptions) {
    options.table.registerListener(({ service, runner }) => {
      if (runner !== undefined) this.noteVersion(service, nameVersion(runner))
    })
  }

  /**
   * @example
   * const versions = VersionHistory.create({ clock, table, publishFact, isLeader })
   */
  static create (options: VersionHistoryOptions): VersionHistory {
    return new VersionHistory(options)
  }

  /**
   * Versions that may have begun a stream of a service.
   *
   * @example
   * versions.listVersions('assistant') // ['1.4', '1.5']
   */
  listVersions (service: string): string[] {
    const oldestMs = this.options.clock.readMonotonicMs() - VERSION_MEMORY_MS
    return [...this.lastSeenMs.get(service) ?? []].filter(([, seenMs]) => seenMs >= oldestMs).map(([version]) => version)
  }

  /** Whether several versions may have begun streams of a service. */
  isMixed (service: string): boolean {
    return this.listVersions(service).length > 1
  }

  /** Calls `listener` with a service that has got a second version; returns the function that unregisters it. */
  registerListener (listener: (service: string) => void): () => void {
    this.listeners.add(listener)
    return () => {
      this.listeners.delete(listener)
    }
  }

  /** Notes that a version served a service some time ago. */
  noteVersion (service: string, version: string, ageMs = 0): void {
    const wasMixed = this.isMixed(service)
    const versions = this.lastSeenMs.get(service) ?? new Map<string, number>()
    this.lastSeenMs.set(service, versions)
    const seenMs = this.options.clock.readMonotonicMs() - Math.max(0, ageMs)
    versions.set(version, Math.max(seenMs, versions.get(version) ?? Number.NEGATIVE_INFINITY))
    if (wasMixed || !this.isMixed(service)) return
    for (const listener of [...this.listeners]) listener(service)
  }

  /**
   * Notes the versions of the runners that are listed now; the leader also publishes them. Called periodically.
   *
   * @param services Services with streams that may be resumed.
   * @param nowMs Wall-clock time, in milliseconds.
   * @example
   * versions.refresh(['assistant'], clock.now().getTime())
   */
  refresh (services: Iterable<string>, nowMs: number): void {
    for (const service of services) {
      for (const version of new Set(this.options.table.listViews(service).map(({ runner }) => nameVersion(runner)))) {
        this.noteVersion(service, version)
        this.publishVersion(service, version, nowMs)
      }
    }
  }

  private publishVersion (service: string, version: string, nowMs: number): void {
    const { clock, isLeader, publishFact } = this.options
    const key = `${service}\n${version}`
    const monotonicMs = clock.readMonotonicMs()
    if (!isLeader() || monotonicMs - (this.publishedAtMs.get(key) ?? Number.NEGATIVE_INFINITY) < PUBLISH_INTERVAL_MS) return
    this.publishedAtMs.set(key, monotonicMs)
    // The same id at every leader of one interval, so that it is kept as one fact.
    publishFact({ type: 'version', id: `version/${service}/${version}/${Math.floor(nowMs / PUBLISH_INTERVAL_MS)}`, service, softwareVersion: version, atMs: nowMs })
  }
}

/**
 * Names the software version of a runner; all runners without one have the same.
 *
 * @example
 * nameVersion(runner) // '1.4'
 */
export function nameVersion ({ softwareVersion }: Pick<Runner, 'softwareVersion'>): string {
  return softwareVersion ?? UNNAMED_VERSION
}
