/** Dependencies of the gateways on the rest of the daemon. */
import type { Clock, Logger } from 'figquay'
import type { Configuration } from 'figquay-contracts'
import type { IdempotencyExecutor } from 'figquay-idempotency'
import type { BurnRateTracker, Metrics } from 'figquay-report'
import type { CompletionRouter, CustomerRateLimiter, ModelDemand, RequestTraces, ServiceRouter } from 'figquay-routing'

/** Components of the daemon that the caller gateway uses. */
export interface GatewayContext {
  /** Id of this daemon. */
  readonly daemon: string
  readonly clock: Clock
  readonly logger: Logger
  readonly completionRouter: CompletionRouter
  readonly serviceRouter: ServiceRouter
  readonly idempotencyExecutor: IdempotencyExecutor
  readonly customerRateLimiter: CustomerRateLimiter
  readonly modelDemand: ModelDemand
  readonly metrics: Metrics
  readonly burnRateTracker: BurnRateTracker
  readonly traces: RequestTraces
  /** Returns the current configuration; undefined until it has been read from the log. */
  readonly readConfiguration: () => Configuration | undefined
  /** Request ids of exchanges with callers that have not ended. */
  readonly activeExchanges: Set<string>
  /** Whether the daemon is draining before it shuts down. */
  readonly isDraining: () => boolean
}
