/** Requests as routing sees them. */
import type { Contract, Model, ModelKind } from 'figquay-contracts'

/** Rank of a priority; the lower goes first. */
export const PRIORITY_RANK = { interactive: 0, standard: 1, batch: 2 } as const

/** A completion that a caller has asked for, matched to its contract. */
export interface RoutedRequest {
  readonly requestId: string
  readonly contract: Contract
  readonly kind: ModelKind
  readonly model: Model
  /** Adapter name, when the caller named one. */
  readonly adapter: string | undefined
  /** OpenAI path. */
  readonly path: string
  readonly body: Readonly<Record<string, unknown>>
  /** SHA-256 of customer, model and body. */
  readonly fingerprint: string
  /** Hash of the beginning of the prompt; requests that share it share cached work. */
  readonly prefixKey: string
  readonly promptTokens: number
  /** Tokens that the answer may have. */
  readonly maxOutputTokens: number
  /** Monotonic time of arrival, in milliseconds. */
  readonly arrivedAtMs: number
}

/** Where the pieces of an answer go. */
export interface CompletionSink {
  /** Takes one chunk in OpenAI's shape; resolves when more may come. */
  writeChunk (chunk: Readonly<Record<string, unknown>>): Promise<void>
}

/** How an answered completion went. */
export interface CompletionReport {
  readonly firstTokenMs: number
  readonly totalMs: number
  readonly chunks: number
  readonly retries: number
}
