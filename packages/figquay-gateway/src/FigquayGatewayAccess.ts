/** Who calls, and under which contract. */
import { hashText, makeFailure, makeSuccess, Refusal, type Outcome } from 'figquay'
import type { Configuration, Contract } from 'figquay-contracts'
import type { GatewayExchange } from './FigquayGatewayExchange.js'

const NOT_CONFIGURED_RETRY_MS = 1_000

/** A caller that has proved its key. */
export interface Caller {
  readonly contract: Contract
  readonly configuration: Configuration
}

/**
 * Finds the contract of a caller by its bearer key.
 *
 * @example
 * const caller = identifyCaller(exchange, configuration)
 */
export function identifyCaller (exchange: GatewayExchange, configuration: Configuration | undefined): Outcome<Caller, Refusal> {
  if (configuration === undefined) return makeFailure(Refusal.create('not_configured', 'no configuration has been read yet', { retryAfterMs: NOT_CONFIGURED_RETRY_MS }))
  const match = /^Bearer ([\x21-\x7e]{1,512})$/.exec(exchange.readHeader('authorization') ?? '')
  if (match === null) return makeFailure(Refusal.create('unauthenticated', 'expected "Authorization: Bearer <key>"'))
  // Only hashes are kept and compared, so the time of the lookup says nothing about a key.
  const contract = configuration.findContract(hashText(match[1]!))
  if (contract === undefined) return makeFailure(Refusal.create('unauthenticated', 'the key belongs to no contract'))
  return makeSuccess({ contract, configuration })
}
