/** Interface to plain services, which are HTTP services other than model engines. */
import type { CallFailure, Outcome } from 'figquay'

/** A call to a plain service. */
export interface ServiceCall {
  readonly requestId: string
  readonly method: string
  /** Path with query string. */
  readonly path: string
  readonly contentType: string | undefined
  readonly body: Buffer
  /** Sent as the `Idempotency-Key` header; undefined for calls that may be repeated. */
  readonly idempotencyKey: string | undefined
  /** Time limit for the whole exchange, in milliseconds. */
  readonly timeoutMs: number
}

/** A complete reply of a plain service. */
export interface ServiceReply {
  readonly status: number
  readonly contentType: string
  readonly body: Buffer
  /** Whether the service stated that it did not run the call. */
  readonly isNotRun: boolean
}

/** Client of plain services. */
export abstract class PlainServiceClient {
  /** Makes a call; a call with an idempotency key gets a new connection. */
  abstract sendCall (url: string, call: ServiceCall, signal?: AbortSignal): Promise<Outcome<ServiceReply, CallFailure>>
  /** Checks that the service responds, and whether it is shutting down. */
  abstract readHealth (url: string): Promise<Outcome<{ readonly leaving: boolean }, CallFailure>>
  /** Closes all connections. */
  abstract close (): void
}
