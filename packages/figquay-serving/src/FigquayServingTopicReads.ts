/**
 * What a daemon's own reads of the store have shown, by topic, and when a failed one is repeated. Time is a parameter.
 *
 * Load pattern: for a second or more, every connection to the store is reset, at all daemons that read it; of what each one
 * retries, one topic tells whether the store answers again.
 */
import { STORE_TOPICS, type StoreTopic } from './FigquayServingTypes.js'

/** Delay before a failed read is retried, in milliseconds. */
export const RETRY_DELAY_MS = 250
/**
 * The same for a topic while another one has been failing for longer, in milliseconds: the retries of that one tell whether
 * the store answers again, so those of the others would only add calls.
 */
export const FOLLOWING_RETRY_DELAY_MS = 1_000

/** Reads of one topic. */
interface TopicState {
  /** Time of the last successful read, in milliseconds. */
  confirmedAtMs: number
  /** Time since which reads fail, in milliseconds; undefined while they succeed. */
  failingSinceMs: number | undefined
  /** Time of the last failed read, in milliseconds. */
  failedAtMs: number
  /** Whether a read is in progress that doesn't wait at the store: it never did, or the store has begun to respond. */
  isImmediate: boolean
}

/** Outcomes of a daemon's reads of each topic. */
export class TopicReads {
  private readonly states = new Map<StoreTopic, TopicState>(STORE_TOPICS.map((topic) => [topic, { confirmedAtMs: Number.NEGATIVE_INFINITY, failingSinceMs: undefined, failedAtMs: Number.NEGATIVE_INFINITY, isImmediate: false }]))

  private constructor () {}

  /**
   * @example
   * const reads = TopicReads.create()
   */
  static create (): TopicReads {
    return new TopicReads()
  }

  /** Whether the reads of any topic fail, or a read that doesn't wait is in progress: then this daemon's copy may lack something. */
  get isIncomplete (): boolean {
    return [...this.states.values()].some(({ failingSinceMs, isImmediate }) => failingSinceMs !== undefined || isImmediate)
  }

  /** Whether a topic is being read without a wait, so that there is no use in beginning anew. */
  isImmediate (topic: StoreTopic): boolean {
    return this.states.get(topic)!.isImmediate
  }

  isFailing (topic: StoreTopic): boolean {
    return this.states.get(topic)!.failingSinceMs !== undefined
  }

  /** Time since this daemon last read a topic itself, in milliseconds; infinite if it never has. */
  measureAge (topic: StoreTopic, nowMs: number): number {
    return nowMs - this.states.get(topic)!.confirmedAtMs
  }

  /**
   * Estimates when the outage ended in which the reads of a topic failed: with the newest read that is known of, by whichever
   * daemon, if it is newer than this daemon's last failure, and now otherwise.
   */
  estimateRecovery (topic: StoreTopic, nowMs: number, newestReadAgeMs: number): number {
    const readAtMs = nowMs - newestReadAgeMs
    return readAtMs > this.states.get(topic)!.failedAtMs ? readAtMs : nowMs
  }

  /** Notes that a read that doesn't wait begins, or that the store begins to respond to one that did. */
  noteImmediate (topic: StoreTopic): void {
    this.states.get(topic)!.isImmediate = true
  }

  /** Notes that a read has ended, with or without an outcome. */
  noteEnd (topic: StoreTopic): void {
    this.states.get(topic)!.isImmediate = false
  }

  /**
   * Notes a successful read; returns since when reads had failed, if they had.
   *
   * @param answeredAfterMs Monotonic time after which the store answered, in milliseconds.
   */
  noteSuccess (topic: StoreTopic, answeredAfterMs: number): number | undefined {
    const state = this.states.get(topic)!
    const { failingSinceMs } = state
    Object.assign(state, { confirmedAtMs: answeredAfterMs, failingSinceMs: undefined, isImmediate: false })
    return failingSinceMs
  }

  /** Notes a failed read; returns whether it is the first one in a row. */
  noteFailure (topic: StoreTopic, nowMs: number): boolean {
    const state = this.states.get(topic)!
    const isFirst = state.failingSinceMs === undefined
    Object.assign(state, { failingSinceMs: state.failingSinceMs ?? nowMs, failedAtMs: nowMs, isImmediate: false })
    return isFirst
  }

  /**
   * Chooses when to retry a failed read, in milliseconds: soon for the topic that has failed first, later for the others.
   *
   * @example
   * await clock.waitFor(reads.chooseRetryDelay('shared'), signal)
   */
  chooseRetryDelay (topic: StoreTopic): number {
    const failing = STORE_TOPICS.filter((other) => this.isFailing(other))
    const first = failing.sort((a, b) => this.states.get(a)!.failingSinceMs! - this.states.get(b)!.failingSinceMs!)[0]
    return first === undefined || first === topic ? RETRY_DELAY_MS : FOLLOWING_RETRY_DELAY_MS
  }
}
