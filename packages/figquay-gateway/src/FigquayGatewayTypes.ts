/** What the gateways need of the daemon. */
import type { Clock, Logger } from 'figquay'
import type { Configuration } from 'figquay-contracts'
import type { IdempotencyExecutor } from 'figquay-idempotency'
import type { BurnTracker, Metrics } from 'figquay-report'
import type { CompletionRouter, CustomerRateLimiter, ModelDemand, RequestTraces, ServiceRouter } from 'figquay-routing'

/** Parts of the daemon that serve callers. */
export interface GatewayContext {
  readonly daemon: string
  readonly clock: Clock
  readonly logger: Logger
  readonly completions: CompletionRouter
  readonly services: ServiceRouter
  readonly idempotency: IdempotencyExecutor
  readonly limits: CustomerRateLimiter
  readonly modelDemand: ModelDemand
  readonly metrics: Metrics
  readonly burn: BurnTracker
  readonly traces: RequestTraces
  /** The configuration in force; undefined until the log has been read. */
  readonly readConfiguration: () => Configuration | undefined
  /** Exchanges with callers that have not ended. */
  readonly activeExchanges: Set<string>
  /** Whether the daemon is on its way out. */
  readonly isDraining: () => boolean
}
