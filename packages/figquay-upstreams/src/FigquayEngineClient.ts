/** Interface to model engines: state reports, orders and completions. */
import type { CallFailure, Outcome } from 'figquay'

/** Load state of a model or an adapter on a runner. */
export type LoadPhase = 'loading' | 'ready' | 'unloading'

/** A model that occupies memory on a runner. */
export interface LoadedModel {
  /** Model id in the form `name@version`. */
  readonly id: string
  readonly bytes: number
  readonly phase: LoadPhase
}

/** An adapter that occupies memory on a runner. */
export interface LoadedAdapter {
  readonly id: string
  readonly bytes: number
  readonly phase: LoadPhase
}

/** Load of a runner; the engine may report it with a delay. */
export interface EngineLoad {
  /** Sequences in the current batch. */
  readonly running: number
  /** Sequences in the queue. */
  readonly waiting: number
  /** Prompt tokens that have not been processed yet. */
  readonly waitingPromptTokens: number
  /** Duration of one decoding step, in milliseconds. */
  readonly stepMs: number
  readonly prefillTokensPerSecond: number
  /** Maximum number of sequences in a batch. */
  readonly maxBatch: number
}

/** State report of a runner. */
export interface EngineState {
  /** Changes each time the engine starts. */
  readonly bootId: string
  /** Whether the engine is shutting down and should get no new work. */
  readonly leaving: boolean
  /** Highest fencing token that the engine has seen; 0 if it ignores fencing tokens. */
  readonly fence: number
  readonly capacityBytes: number
  readonly models: readonly LoadedModel[]
  readonly adapters: readonly LoadedAdapter[]
  readonly load: EngineLoad
  /** Digests of cached prompt prefixes; the list may be late and incomplete, as are the engine's cache events. */
  readonly cachedPrefixes: readonly string[]
}

/** Operation that an order requests. `install-fence` only raises the highest fencing token. */
export type OrderAction = 'install-fence' | 'load-model' | 'unload-model' | 'load-adapter' | 'unload-adapter'

/** A control command to a runner. */
export interface EngineOrder {
  readonly orderId: string
  /** Fencing token; the engine rejects the order if it has seen a higher one. */
  readonly fence: number
  readonly action: OrderAction
  /** Model or adapter id; empty for `install-fence`. */
  readonly subject: string
  /** Memory that the model or adapter occupies. */
  readonly bytes: number
}

/** An engine's reply to an order. */
export type OrderReply = 'accepted' | 'stale-fence' | 'no-memory' | 'rejected'

/** A request for a completion; the engine always streams the answer. */
export interface CompletionRequest {
  readonly requestId: string
  /** Path in the OpenAI API: `/v1/chat/completions` or `/v1/completions`. */
  readonly path: string
  /** Request body in the format of the OpenAI API. */
  readonly body: Readonly<Record<string, unknown>>
  readonly model: string
  /** Scheduling rank that is sent to the engine; lower ranks run first. */
  readonly priority: number
  /** Number of chunks that the caller has already received; the engine resumes after them. */
  readonly resumeFrom: number
}

/** An event in the stream of a completion. */
export type CompletionEvent =
  /** The engine has accepted the request, or has sent a keep-alive. */
  | { readonly type: 'alive' }
  /** A chunk of the answer, in the format of the OpenAI API. */
  | { readonly type: 'chunk', readonly data: Readonly<Record<string, unknown>> }
  /** The answer is complete. */
  | { readonly type: 'done' }
  /** The exchange failed; no further events follow. */
  | { readonly type: 'failed', readonly failure: CompletionFailure }

/** The reason why a completion failed. */
export interface CompletionFailure {
  /** `never`: the engine has not run the request. `maybe`: it may have run it. */
  readonly sent: 'never' | 'maybe'
  readonly reason: CallFailure['reason'] | 'refused' | 'crossed' | 'truncated' | 'silent' | 'invalid'
  readonly message: string
  /** HTTP status, if the engine responded with an error. */
  readonly status?: number
}

/** Client of model engines. */
export abstract class EngineClient {
  /** Reads the state report of a runner. */
  abstract readState (url: string): Promise<Outcome<EngineState, CallFailure>>
  /** Sends an order; a failure with `sent: 'never'` means that it cannot take effect. */
  abstract sendOrder (url: string, order: EngineOrder): Promise<Outcome<OrderReply, CallFailure>>
  /** Runs a completion; the last event is `done` or `failed`, or there is none after an abort. */
  abstract streamCompletion (url: string, request: CompletionRequest, signal: AbortSignal): AsyncGenerator<CompletionEvent, void, void>
  /** Closes all connections. */
  abstract close (): void
}
