/** Protocol-independent requests, responses and exchanges; data of the protocol's codec is opaque to this package. */
import type { Refusal } from 'figquay'
import type { Customer, PromptPart, ReportedLoad, Route, Runner } from 'figquay-fleet'

/** A caller's request, matched to a route. */
export interface ServedRequest {
  readonly id: string
  readonly route: Route
  /** Customer whose key the caller has sent; undefined where callers need none, and for callers of public routes without a known key. */
  readonly customer: Customer | undefined
  /** SHA-256 digest of the key that the caller has sent, in hexadecimal, whether or not it is known; undefined if there is none. */
  readonly keyDigest: string | undefined
  /** The customer's, or else the route's; 0 is the highest. */
  readonly priority: number
  /** Service drawn from the route's targets. */
  readonly service: string
  readonly model: string | undefined
  readonly adapter: string | undefined
  readonly promptTokens: number
  /** Most tokens that the response may have; 0 if the request doesn't say. */
  readonly maxOutputTokens: number
  readonly parts: readonly PromptPart[]
  /** Id of the last event that the caller has of a stream that it takes up; undefined for a new stream, and for other requests. */
  readonly resumeAfterEventId: string | undefined
  /** Id of the request that brought the first event of that stream; undefined if the caller doesn't name it. */
  readonly resumedRequestId?: string | undefined
  /** Digest of caller, path and body; a caller's retry of a request has the same one. */
  readonly fingerprint: string
  /** Digest of path and body: the same wherever the request comes from, as a caller's address may change. */
  readonly contentDigest?: string
  /** Monotonic time of arrival, in milliseconds. */
  readonly arrivedAtMs: number
  /** Monotonic time at which the caller or the route times out, in milliseconds. */
  readonly deadlineAtMs: number
  /** Set if another daemon has forwarded the request: attempts that it has made, as far as they count towards the route's limit. */
  readonly forwardedRuns?: number
  /** Codec data needed to send the request to a runner. */
  readonly payload: unknown
}

/** Why an exchange failed. */
export type ExchangeFailureReason =
  /** No connection could be established. */
  | 'unreachable'
  /** It was no longer to be sent when its connection was open. */
  | 'withdrawn'
  /** The runner is at capacity or draining. */
  | 'declined'
  /** The address now belongs to another runner. */
  | 'other-runner'
  /** The model or adapter is not loaded on the runner. */
  | 'missing-model'
  /** The response says that the request has not run, and nothing confirms it. */
  | 'unconfirmed'
  /** The connection was lost. */
  | 'reset'
  /** The response was cut short. */
  | 'truncated'
  /** The response belongs to another request or is malformed. */
  | 'crossed'
  /** No response arrived in time. */
  | 'silent'

/** A failed exchange. */
export interface ExchangeFailure {
  /** `not-run` only if no byte can have reached the runner, or if the runner reported that it did not execute the request. */
  readonly execution: 'not-run' | 'unknown'
  readonly reason: ExchangeFailureReason
  readonly message: string
}

/** Availability that a runner reports along with a response; a response without a notice names no limit either. */
export interface RunnerNotice {
  /** The runner is draining and accepts no more requests. */
  readonly isLeaving: boolean
  /** Time for which this daemon must not send it requests, in milliseconds. */
  readonly refusesForMs: number | undefined
  /** Requests per second that it takes from all daemons together; undefined while it names no limit. */
  readonly requestsPerSecond: number | undefined
  /** Requests that it can decline in a second without crashing; undefined while it is not brittle. */
  readonly declinesPerSecond?: number | undefined
}

/** One event of an exchange with a runner. */
export type ExchangeEvent =
  /** Precedes the head or failure of the response that carried it. */
  | { readonly type: 'notice', readonly notice: RunnerNotice }
  /** Start of the response; `head` is codec data. */
  | { readonly type: 'head', readonly status: number, readonly isEventStream: boolean, readonly head: unknown, readonly load: ReportedLoad | undefined }
  /** Bytes of the response; whole events in a stream, with the first and the last id among them, and whether events without an id follow the last one. */
  | { readonly type: 'data', readonly bytes: Buffer, readonly firstEventId: string | undefined, readonly lastEventId: string | undefined, readonly hasUnnumberedEnd: boolean }
  /** The response is complete. */
  | { readonly type: 'end' }
  | { readonly type: 'failed', readonly failure: ExchangeFailure }

/** Options of one exchange. */
export interface ExchangeOptions {
  readonly remainingMs: number
  /** Id of the last event received; the runner resumes the stream after it. */
  readonly resumeAfterEventId: string | undefined
  /** Priority at the runner; lower values are served first. */
  readonly priority: number
  /** Whether callers need keys: the runner then gets the customer's name, and neither the key nor a name from the caller. */
  readonly areKeysNeeded: boolean
  /** Longest idle time of a connection that may be reused, in milliseconds. */
  readonly maxIdleMs: number
  /** Whether the request is no longer to be sent to the runner; asked right before its first byte, also once a new connection is open. */
  readonly isWithdrawn?: () => boolean
}

/** Which process answered a liveness probe at a runner's address. */
export type LivenessProbeResult =
  /** The expected process. */
  | 'same'
  /** Another process: the runner has restarted, or another runner has the address. */
  | 'other'
  /** A process that does not report its start time. */
  | 'unsure'
  /** None: the connection was refused. */
  | 'refused'
  /** None: there was no response, or no usable one. */
  | 'silent'

/** Sends requests to runners and probes them. */
export abstract class RunnerExchangeClient {
  /** Sends a request and yields its response, ending with `end` or `failed`; after an abort it yields nothing more. */
  abstract runExchange (runner: Runner, request: ServedRequest, options: ExchangeOptions, signal: AbortSignal): AsyncGenerator<ExchangeEvent, void, void>
  /** Whether an open connection has been idle for at most `maxIdleMs`. */
  abstract hasReusableConnection (runner: Runner, maxIdleMs: number): boolean
  /** Checks whether the process known at a runner's address still runs there. */
  abstract probeLiveness (runner: Runner): Promise<LivenessProbeResult>
}

/** Writes a response to the caller. */
export abstract class ResponseSink {
  /** Starts the response with a runner's status and head. */
  abstract startResponse (status: number, head: unknown): void
  /** Writes bytes of the response; the promise resolves once more can be written, undefined if that is so already. */
  abstract writeBytes (bytes: Buffer): Promise<void> | undefined
  /** Ends the response as complete. */
  abstract finishResponse (): void
  /** Aborts the response so that the caller cannot take it for complete. */
  abstract abortResponse (): void
  /** Responds with a refusal issued by this daemon. */
  abstract refuseRequest (refusal: Refusal): void
}

/** How a request ended. */
export type ServedResult = 'answered' | 'refused' | 'broken' | 'caller-left'

/** Topics of the store that daemons follow. */
export const STORE_TOPICS = ['configuration', 'runners', 'shared'] as const
export type StoreTopic = typeof STORE_TOPICS[number]
