/** The fold of configuration changes: the first in the log wins, the same way everywhere. */
import { Fold, type LogRecord } from 'figquay-log'
import { invariant } from 'figquay'
import { Configuration, type ConfigurationDocument } from './FigquayConfiguration.js'

/** One document of a change. */
export interface DocumentChange {
  readonly key: string
  /** Version that the author has seen; 0 when there was none. */
  readonly base: number
  /** New body; null removes the document. */
  readonly body: unknown
}

/** Data of a record that changes the configuration. */
export interface ChangeData {
  readonly type: 'change'
  readonly changeId: string
  readonly author: string
  readonly documents: readonly DocumentChange[]
}

/** What the fold ruled on a change. */
export interface ChangeVerdict {
  readonly changeId: string
  readonly offset: number
  readonly at: number
  readonly author: string
  readonly verdict: 'accepted' | 'rejected'
  /** Why it was rejected; empty when accepted. */
  readonly reason: string
  readonly keys: readonly string[]
}

const KEPT_VERDICTS = 500

/** Makes versions start at 1, so that 0 means "none". */
function makeVersion (offset: number): number {
  return offset + 1
}

function createEmpty (): Configuration {
  const outcome = Configuration.create(new Map())
  invariant(outcome.ok, 'the empty configuration is valid')
  return outcome.value
}

/** Folds change records into the configuration in force. */
export class ConfigurationFold extends Fold {
  private current = createEmpty()
  private verdicts: readonly ChangeVerdict[] = []

  /**
   * @example
   * const fold = ConfigurationFold.create()
   */
  static create (): ConfigurationFold {
    return new ConfigurationFold()
  }

  /** The configuration in force. */
  get configuration (): Configuration {
    return this.current
  }

  /** The latest rulings, oldest first. */
  get history (): readonly ChangeVerdict[] {
    return this.verdicts
  }

  /** The ruling on a change, once its record has been folded. */
  findVerdict (changeId: string): ChangeVerdict | undefined {
    return this.verdicts.find((verdict) => verdict.changeId === changeId)
  }

  override applyRecord (record: LogRecord): void {
    const data = record.data as ChangeData
    if (data?.type !== 'change' || !Array.isArray(data.documents)) return
    // A record that was appended twice keeps its first ruling.
    if (this.findVerdict(data.changeId) !== undefined) return
    const reason = this.applyChange(data, record.offset)
    const verdict: ChangeVerdict = {
      changeId: data.changeId,
      offset: record.offset,
      at: record.at,
      author: data.author,
      verdict: reason === '' ? 'accepted' : 'rejected',
      reason,
      keys: data.documents.map((document) => document.key)
    }
    this.verdicts = [...this.verdicts, verdict].slice(-KEPT_VERDICTS)
  }

  override exportState (): unknown {
    return { documents: [...this.current.documents], verdicts: this.verdicts }
  }

  override importState (state: unknown): void {
    const { documents, verdicts } = state as { documents: Array<[string, ConfigurationDocument]>, verdicts: ChangeVerdict[] }
    const outcome = Configuration.create(new Map(documents))
    invariant(outcome.ok, 'a snapshot holds an accepted configuration')
    this.current = outcome.value
    this.verdicts = verdicts
  }

  /** Applies a change whole, or returns why not. */
  private applyChange (data: ChangeData, offset: number): string {
    const documents = new Map(this.current.documents)
    for (const change of data.documents) {
      const version = documents.get(change.key)?.version ?? 0
      if (version !== change.base) return this.explainConflict(change.key, change.base, version)
      if (change.body === null) documents.delete(change.key)
      else documents.set(change.key, { version: makeVersion(offset), body: change.body })
    }
    const outcome = Configuration.create(documents)
    if (!outcome.ok) return outcome.error
    this.current = outcome.value
    return ''
  }

  private explainConflict (key: string, base: number, version: number): string {
    const winner = this.verdicts.find((verdict) => makeVersion(verdict.offset) === version)
    const by = winner === undefined ? '' : ` by ${winner.author} (${winner.changeId})`
    return `${key} is at version ${version}${by}, not at ${base}`
  }
}
