/** Applies the records that the daemons share in the platform's store: the leader, facts and the daemons themselves. */
import { BEFORE_LOG, LEADER_KEY, readEra, type FleetLeadership, type LogPosition, type SharedRecordBatch } from 'figquay-fleet'
import { DAEMON_KEY_PREFIX, PROCESSOR_KEY_PREFIX, type DaemonRecords } from './FigquayServingDaemonRecords.js'
import { FACT_KEY_PREFIX, type FactStoreSync } from './FigquayServingFactStoreSync.js'
import type { ProcessorCores } from './FigquayServingTopology.js'

/** Where the records are applied. */
export interface SharedRecordsOptions {
  readonly leadership: FleetLeadership
  readonly factStore: Pick<FactStoreSync, 'applyRecord' | 'replaceRecords'>
  readonly daemonRecords: DaemonRecords
  /** Called with the data centre and the processor cores of each daemon, by address, after a change. */
  readonly setDaemons: (daemons: ReadonlyMap<string, string>, cores: ProcessorCores) => void
}

/** One daemon's copy of the shared records. */
export class SharedRecords {
  private lastPosition = BEFORE_LOG

  private constructor (private readonly options: SharedRecordsOptions) {}

  /**
   * @example
   * const records = SharedRecords.create({ leadership, factStore, daemonRecords, setDaemons })
   */
  static create (options: SharedRecordsOptions): SharedRecords {
    return new SharedRecords(options)
  }

  /** Position up to which the records were applied. */
  get position (): LogPosition {
    return this.lastPosition
  }

  /**
   * Applies what was read.
   *
   * @example
   * records.applyBatch(reading.value)
   */
  applyBatch (batch: SharedRecordBatch): void {
    const { daemonRecords, factStore, leadership, setDaemons } = this.options
    const isRestored = batch.isComplete && readEra(batch.end) > readEra(this.lastPosition)
    let hasChanged = false
    for (const { key, value, position } of batch.records) {
      if (key === LEADER_KEY && value !== undefined) leadership.applyLeaderRecord(value, position)
      if (key.startsWith(FACT_KEY_PREFIX)) factStore.applyRecord(key, value)
      if (key.startsWith(DAEMON_KEY_PREFIX)) daemonRecords.applyRecord(key, value)
      else if (key.startsWith(PROCESSOR_KEY_PREFIX)) daemonRecords.applyProcessorRecord(key, value)
      else continue
      hasChanged = true
    }
    if (isRestored) this.replaceLostRecords(batch)
    // Records of a complete list may lie beyond its end: what was written while its pages were read is read once more.
    this.lastPosition = Math.max(this.lastPosition, batch.end - 1)
    if (hasChanged) setDaemons(daemonRecords.daemons, daemonRecords.processorCores)
  }

  /** What daemons wrote since the copy was made is missing from the restored store; the leader writes it again. */
  private replaceLostRecords ({ records }: SharedRecordBatch): void {
    const { daemonRecords, factStore } = this.options
    const keys = records.map(({ key }) => key)
    factStore.replaceRecords(keys.filter((key) => key.startsWith(FACT_KEY_PREFIX)))
    daemonRecords.replaceRecords(keys.filter((key) => key.startsWith(DAEMON_KEY_PREFIX)))
  }
}
