/** Model engines as the daemons see them. */
import type { CallFailure, Outcome } from 'figquay'

/** Where a model or an adapter stands on a runner. */
export type LoadPhase = 'loading' | 'ready' | 'unloading'

/** A model that takes memory on a runner. */
export interface LoadedModel {
  /** `name@version`. */
  readonly id: string
  readonly bytes: number
  readonly phase: LoadPhase
}

/** An adapter that takes memory on a runner. */
export interface LoadedAdapter {
  readonly id: string
  readonly bytes: number
  readonly phase: LoadPhase
}

/** Work on a runner, as it was a moment ago. */
export interface EngineLoad {
  readonly running: number
  readonly waiting: number
  /** Prompt tokens that have not been processed yet. */
  readonly waitingPromptTokens: number
  /** Time of one decoding step, in milliseconds. */
  readonly stepMs: number
  readonly prefillTokensPerSecond: number
  /** Sequences that run together at most. */
  readonly maxBatch: number
}

/** What a runner reports about itself. */
export interface EngineState {
  /** Changes each time the engine starts. */
  readonly bootId: string
  readonly leaving: boolean
  /** Highest fencing number seen; 0 when the engine ignores them. */
  readonly fence: number
  readonly capacityBytes: number
  readonly models: readonly LoadedModel[]
  readonly adapters: readonly LoadedAdapter[]
  readonly load: EngineLoad
  /** Digests of prompt beginnings whose work is cached, as the engine's late and patchy events tell. */
  readonly cachedPrefixes: readonly string[]
}

/** What an order asks for. `install-fence` changes nothing but the highest fencing number. */
export type OrderAction = 'install-fence' | 'load-model' | 'unload-model' | 'load-adapter' | 'unload-adapter'

/** An order to a runner. */
export interface EngineOrder {
  readonly orderId: string
  readonly fence: number
  readonly action: OrderAction
  /** Model or adapter id; empty for `install-fence`. */
  readonly subject: string
  /** Memory that the subject takes. */
  readonly bytes: number
}

/** How an engine answered an order. */
export type OrderReply = 'accepted' | 'stale-fence' | 'no-memory' | 'rejected'

/** A request for a completion, always streamed. */
export interface CompletionRequest {
  readonly requestId: string
  /** OpenAI path: `/v1/chat/completions` or `/v1/completions`. */
  readonly path: string
  /** OpenAI body. */
  readonly body: Readonly<Record<string, unknown>>
  readonly model: string
  readonly priority: number
  /** Chunks that the caller has already received; the engine goes on after them. */
  readonly resumeFrom: number
}

/** One event of a completion. */
export type CompletionEvent =
  /** The engine has taken the request, or says that it still works on it. */
  | { readonly type: 'alive' }
  /** One piece of the answer, in OpenAI's chunk shape. */
  | { readonly type: 'chunk', readonly data: Readonly<Record<string, unknown>> }
  /** The answer is whole. */
  | { readonly type: 'done' }
  /** The exchange failed; nothing follows. */
  | { readonly type: 'failed', readonly failure: EngineFailure }

/** Why a completion failed. */
export interface EngineFailure {
  /** `never`: the engine has not run the request. */
  readonly sent: 'never' | 'maybe'
  readonly reason: CallFailure['reason'] | 'refused' | 'crossed' | 'truncated' | 'silent' | 'invalid'
  readonly message: string
  /** HTTP status of the engine when it answered with an error. */
  readonly status?: number
}

/** Client of model engines. */
export abstract class EngineClient {
  /** Reads what a runner reports. */
  abstract readState (url: string): Promise<Outcome<EngineState, CallFailure>>
  /** Sends an order; `sent: 'never'` means that it cannot take effect. */
  abstract sendOrder (url: string, order: EngineOrder): Promise<Outcome<OrderReply, CallFailure>>
  /** Runs a completion; ends with `done` or `failed`, and with nothing after an abort. */
  abstract streamCompletion (url: string, request: CompletionRequest, signal: AbortSignal): AsyncGenerator<CompletionEvent, void, void>
  /** Closes connections. */
  abstract close (): void
}
