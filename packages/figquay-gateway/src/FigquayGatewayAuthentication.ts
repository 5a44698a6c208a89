/** Authenticates callers by bearer key and finds their contract. */
import { hashText, makeFailure, makeSuccess, Refusal, type Outcome } from 'figquay'
import type { Configuration, Contract } from 'figquay-contracts'
import type { GatewayExchange } from './FigquayGatewayExchange.js'

const NOT_CONFIGURED_RETRY_AFTER_MS = 1_000

/** A caller whose key has been verified, with its contract. */
export interface AuthenticatedCaller {
  readonly contract: Contract
  readonly configuration: Configuration
}

/**
 * Authenticates a caller by its bearer key and returns its contract.
 *
 * @example
 * const caller = authenticateCaller(exchange, configuration)
 */
export function authenticateCaller (exchange: GatewayExchange, configuration: Configuration | undefined): Outcome<AuthenticatedCaller, Refusal> {
  if (configuration === undefined) return makeFailure(Refusal.create('not_configured', 'the configuration has not been loaded yet', { retryAfterMs: NOT_CONFIGURED_RETRY_AFTER_MS }))
  const match = /^Bearer ([\x21-\x7e]{1,512})$/.exec(exchange.readHeader('authorization') ?? '')
  if (match === null) return makeFailure(Refusal.create('unauthenticated', 'expected "Authorization: Bearer <key>"'))
  // Only hashes are stored and compared, so lookup timing reveals nothing about a key.
  const contract = configuration.findContract(hashText(match[1]!))
  if (contract === undefined) return makeFailure(Refusal.create('unauthenticated', 'the bearer key does not match any contract'))
  return makeSuccess({ contract, configuration })
}
