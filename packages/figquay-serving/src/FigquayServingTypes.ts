/** Requests, answers and exchanges, free of any protocol: what a codec reads and writes stays opaque here. */
import type { Refusal } from 'figquay'
import type { PromptPart, ReportedLoad, Route, Runner } from 'figquay-fleet'

/** A request, matched to its route. */
export interface ServedRequest {
  readonly id: string
  readonly route: Route
  /** Service that was drawn from the route's targets. */
  readonly service: string
  readonly model: string | undefined
  readonly adapter: string | undefined
  readonly promptTokens: number
  readonly parts: readonly PromptPart[]
  /** Digest of caller, path and body: the same when the request is sent again. */
  readonly fingerprint: string
  /** Monotonic time of arrival, in milliseconds. */
  readonly arrivedAtMs: number
  /** Monotonic time at which the caller or the route gives up, in milliseconds. */
  readonly deadlineAtMs: number
  /** What the codec needs to send the request on. */
  readonly payload: unknown
}

/** Why an exchange failed. */
export type ExchangeFailureReason =
  /** No connection was made. */
  | 'unreachable'
  /** The runner has no room, or is leaving. */
  | 'declined'
  /** Another runner has the address now. */
  | 'other-runner'
  /** The runner doesn't hold the model or adapter. */
  | 'missing-model'
  /** The connection broke. */
  | 'reset'
  /** The answer ended before its end. */
  | 'truncated'
  /** The answer belongs to another request, or is no answer. */
  | 'crossed'
  /** Nothing came in time. */
  | 'silent'

/** A failed exchange. */
export interface ExchangeFailure {
  /** `not-run` only when no byte could have reached the runner, or the runner has said so. */
  readonly execution: 'not-run' | 'unknown'
  readonly reason: ExchangeFailureReason
  readonly message: string
}

/** What a runner says of itself beside an answer. */
export interface RunnerNotice {
  /** It takes no more work. */
  readonly isLeaving: boolean
  /** Time for which it wants nothing from this daemon, in milliseconds. */
  readonly refusesForMs: number | undefined
}

/** One event of an exchange with a runner. */
export type ExchangeEvent =
  /** Comes before the answer, or the failure, that it was said beside. */
  | { readonly type: 'notice', readonly notice: RunnerNotice }
  /** The answer begins; `head` is the codec's. */
  | { readonly type: 'head', readonly status: number, readonly head: unknown, readonly load: ReportedLoad | undefined }
  /** Bytes of the answer; on streams, whole events. */
  | { readonly type: 'data', readonly bytes: Buffer, readonly lastEventId: string | undefined }
  /** The answer is whole. */
  | { readonly type: 'end' }
  | { readonly type: 'failed', readonly failure: ExchangeFailure }

/** How one exchange is to be carried out. */
export interface ExchangeOptions {
  readonly remainingMs: number
  /** Event after which the runner goes on. */
  readonly resumeAfter: string | undefined
  /** Rank among the runner's requests; the lower goes first. */
  readonly rank: number
  /** Longest time that a connection may have been idle, in milliseconds. */
  readonly mostIdleMs: number
}

/** What the address of a runner answers when it is asked which process runs there. */
export type RunnerLifeSign =
  /** The same. */
  | 'same'
  /** Another: a runner's successor, or another runner. */
  | 'other'
  /** A process that doesn't tell its start. */
  | 'unsure'
  /** Nobody listens there. */
  | 'refused'
  /** Nothing, or nothing of use. */
  | 'silent'

/** Carries out exchanges with runners. */
export abstract class RunnerExchangeClient {
  /** Sends a request and yields its answer; ends with `end` or `failed`, and with nothing after an abort. */
  abstract runExchange (runner: Runner, request: ServedRequest, options: ExchangeOptions, signal: AbortSignal): AsyncGenerator<ExchangeEvent, void, void>
  /** Whether a connection stands that has been idle for no longer than `mostIdleMs`. */
  abstract hasConnection (runner: Runner, mostIdleMs: number): boolean
  /** Asks whether the process that was known at an address still runs there. */
  abstract findLifeSign (runner: Runner): Promise<RunnerLifeSign>
}

/** Where an answer goes. */
export abstract class AnswerSink {
  /** Begins the answer with a runner's status and head. */
  abstract startAnswer (status: number, head: unknown): void
  /** Passes bytes on; resolves when more may come. */
  abstract writeBytes (bytes: Buffer): Promise<void>
  /** Ends the answer as complete. */
  abstract finishAnswer (): void
  /** Breaks the answer off so that it can't be taken for complete. */
  abstract abandonAnswer (): void
  /** Answers with a refusal of this daemon's own. */
  abstract refuseRequest (refusal: Refusal): void
}

/** How a request ended. */
export type ServedResult = 'answered' | 'refused' | 'broken' | 'caller-left'
