/** Plain services beside the model engines. */
import type { CallFailure, Outcome } from 'figquay'

/** One call to a plain service. */
export interface ServiceCall {
  readonly requestId: string
  readonly method: string
  /** Path with its query. */
  readonly path: string
  readonly contentType: string | undefined
  readonly body: Buffer
  /** Sent as `Idempotency-Key` when the call must not repeat. */
  readonly idempotencyKey: string | undefined
  /** Bound on the whole exchange, in milliseconds. */
  readonly timeoutMs: number
}

/** A whole answer of a plain service. */
export interface ServiceReply {
  readonly status: number
  readonly contentType: string
  readonly body: Buffer
  /** The service says that it did not run the call. */
  readonly notRun: boolean
}

/** Client of plain services. */
export abstract class PlainServiceClient {
  /** Makes a call; a call under an idempotency key gets a connection of its own. */
  abstract sendCall (url: string, call: ServiceCall, signal?: AbortSignal): Promise<Outcome<ServiceReply, CallFailure>>
  /** Tells whether the service answers, and whether it is leaving. */
  abstract readHealth (url: string): Promise<Outcome<{ readonly leaving: boolean }, CallFailure>>
  /** Closes connections. */
  abstract close (): void
}
