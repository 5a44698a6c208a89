/** Types of the requests that the router handles and of their results. */
import type { Contract, Model, ModelRequestKind } from 'figquay-contracts'

/** Rank of each priority; lower ranks are served first. */
export const PRIORITY_RANK = { interactive: 0, standard: 1, batch: 2 } as const

/** A completion request, resolved to its customer's contract and model. */
export interface RoutedRequest {
  readonly requestId: string
  readonly contract: Contract
  readonly kind: ModelRequestKind
  readonly model: Model
  /** Adapter name, if the caller requested one. */
  readonly adapter: string | undefined
  /** Path of the OpenAI API endpoint. */
  readonly path: string
  readonly body: Readonly<Record<string, unknown>>
  /** SHA-256 hash of customer, model and body. */
  readonly fingerprint: string
  /** Hash of the beginning of the prompt; requests with the same key share cached prefill work. */
  readonly prefixKey: string
  readonly promptTokens: number
  /** Upper bound on the tokens of the response. */
  readonly maxOutputTokens: number
  /** Arrival time on the monotonic clock, in milliseconds. */
  readonly arrivedAtMs: number
}

/** Destination of the chunks of a response. */
export interface CompletionSink {
  /** Writes one chunk in the OpenAI format; resolves when the sink accepts the next one. */
  writeChunk (chunk: Readonly<Record<string, unknown>>): Promise<void>
}

/** Statistics of a completed request; times count from its arrival. */
export interface CompletionReport {
  readonly firstTokenMs: number
  readonly totalMs: number
  readonly chunks: number
  readonly retries: number
}
