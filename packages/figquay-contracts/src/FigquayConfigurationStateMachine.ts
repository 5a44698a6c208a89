/** Replicated state machine for the configuration: of conflicting changes, the one earliest in the log wins on every daemon. */
import { StateMachine, type LogRecord } from 'figquay-log'
import { invariant } from 'figquay'
import { Configuration, type ConfigurationDocument } from './FigquayConfiguration.js'

/** Creates, replaces or removes one document. */
export interface DocumentChange {
  readonly key: string
  /** Version of the document that the change is based on; 0 if it did not exist. */
  readonly base: number
  /** New body; null removes the document. */
  readonly body: unknown
}

/** Data of a log record that changes the configuration; its documents are applied atomically. */
export interface ConfigurationChange {
  readonly type: 'change'
  readonly changeId: string
  readonly author: string
  readonly documents: readonly DocumentChange[]
}

/** Result of applying a change. */
export interface ChangeVerdict {
  readonly changeId: string
  readonly offset: number
  readonly at: number
  readonly author: string
  readonly verdict: 'accepted' | 'rejected'
  /** Reason for the rejection; empty for accepted changes. */
  readonly reason: string
  readonly keys: readonly string[]
}

const MAX_VERDICTS = 500

/** Converts a log offset to a version. Versions start at 1 because 0 means that a document does not exist. */
function computeVersion (offset: number): number {
  return offset + 1
}

function createEmptyConfiguration (): Configuration {
  const outcome = Configuration.create(new Map())
  invariant(outcome.ok, 'the empty configuration is valid')
  return outcome.value
}

/** Applies change records to the active configuration with optimistic concurrency control. */
export class ConfigurationStateMachine extends StateMachine {
  private activeConfiguration = createEmptyConfiguration()
  private verdicts: readonly ChangeVerdict[] = []

  /**
   * @example
   * const stateMachine = ConfigurationStateMachine.create()
   */
  static create (): ConfigurationStateMachine {
    return new ConfigurationStateMachine()
  }

  /** The active configuration. */
  get configuration (): Configuration {
    return this.activeConfiguration
  }

  /** Results of the latest changes, oldest first. */
  get history (): readonly ChangeVerdict[] {
    return this.verdicts
  }

  /** Finds the result of a change; undefined until its record has been applied. */
  findVerdict (changeId: string): ChangeVerdict | undefined {
    return this.verdicts.find((verdict) => verdict.changeId === changeId)
  }

  override applyRecord (record: LogRecord): void {
    const data = record.data as ConfigurationChange
    if (data?.type !== 'change' || !Array.isArray(data.documents)) return
    // A retry can append the same change again; only its first record counts.
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
    this.verdicts = [...this.verdicts, verdict].slice(-MAX_VERDICTS)
  }

  override exportState (): unknown {
    return { documents: [...this.activeConfiguration.documents], verdicts: this.verdicts }
  }

  override importState (state: unknown): void {
    const { documents, verdicts } = state as { documents: Array<[string, ConfigurationDocument]>, verdicts: ChangeVerdict[] }
    const outcome = Configuration.create(new Map(documents))
    invariant(outcome.ok, 'the configuration in a snapshot is valid')
    this.activeConfiguration = outcome.value
    this.verdicts = verdicts
  }

  /** Applies all documents of a change or none; returns the reason for a rejection, or an empty string. */
  private applyChange (data: ConfigurationChange, offset: number): string {
    const documents = new Map(this.activeConfiguration.documents)
    for (const change of data.documents) {
      const version = documents.get(change.key)?.version ?? 0
      if (version !== change.base) return this.formatConflict(change.key, change.base, version)
      if (change.body === null) documents.delete(change.key)
      else documents.set(change.key, { version: computeVersion(offset), body: change.body })
    }
    const outcome = Configuration.create(documents)
    if (!outcome.ok) return outcome.error
    this.activeConfiguration = outcome.value
    return ''
  }

  private formatConflict (key: string, base: number, version: number): string {
    const winningChange = this.verdicts.find((verdict) => computeVersion(verdict.offset) === version)
    const authorNote = winningChange === undefined ? '' : ` by ${winningChange.author} (${winningChange.changeId})`
    return `${key} is at version ${version}${authorNote}; the change is based on version ${base}`
  }
}
