/** Lifecycle of a daemon: starts its components in order and stops them gracefully. */
import { invariant } from 'figquay'
import { registerCallerGateway } from 'figquay-gateway'
import { DaemonComponents } from './FigquaydComponents.js'
import type { DaemonPlugins } from './FigquaydPlugins.js'
import type { Settings } from './FigquaydSettings.js'

const DRAIN_POLL_INTERVAL_MS = 50
const ORDER_SETTLE_TIMEOUT_MS = 8_000

/** A daemon that can be started once and stopped gracefully. */
export class Daemon {
  private unregisterCallerGateway: (() => Promise<void>) | undefined
  private stopPromise: Promise<void> | undefined

  private constructor (private readonly components: DaemonComponents) {}

  /**
   * @example
   * const daemon = Daemon.create(settings, plugins)
   * await daemon.start()
   */
  static create (settings: Settings, plugins: DaemonPlugins): Daemon {
    return new Daemon(DaemonComponents.create(settings, plugins))
  }

  /** Starts the background tasks and opens the ports, the caller port last. */
  async start (): Promise<void> {
    const { settings: { listen }, membership, mesh, operatorGateway, tasks, broker, logger } = this.components
    await membership.refresh()
    await mesh.listen(listen.peers.host, listen.peers.port)
    await operatorGateway.listen(listen.operators.host, listen.operators.port)
    membership.start(tasks)
    membership.registerListener(() => this.components.connectPeers())
    membership.registerListener(() => this.components.hintExchange.scheduleHints())
    this.components.connectPeers()
    this.components.streams.start(tasks, mesh)
    this.components.monitor.start(tasks)
    this.components.services.start(tasks)
    this.components.placement.start(tasks)
    this.components.hintExchange.start(tasks)
    this.unregisterCallerGateway = registerCallerGateway(broker, this.components.makeGatewayContext(), listen.callers)
    await broker.start()
    logger.info('listening', { callers: listen.callers, operators: listen.operators, peers: listen.peers })
  }

  /**
   * Stops gracefully: waits for the requests in flight without a time limit. Further calls return the same promise.
   *
   * @example
   * process.on('SIGTERM', () => daemon.stop())
   */
  stop (): Promise<void> {
    this.stopPromise ??= this.drain()
    return this.stopPromise
  }

  private async drain (): Promise<void> {
    const { logger, leases, clock, settings, activeExchanges, idempotency, tasks, operatorGateway, mesh, broker, plugins } = this.components
    this.components.startDraining()
    logger.info('draining', { active: activeExchanges.size })
    await leases.releaseAll()
    // The load balancer keeps sending requests until it has seen that this daemon is not ready.
    await clock.waitFor(settings.drainGrace)
    while (activeExchanges.size > 0) await clock.waitFor(DRAIN_POLL_INTERVAL_MS)
    await this.unregisterCallerGateway?.()
    await idempotency.flush()
    await this.waitForOrdersToSettle()
    await tasks.stop()
    operatorGateway.close()
    mesh.close()
    await broker.stop()
    for (const plugin of [plugins.log, plugins.roster, plugins.engines, plugins.services]) plugin.close()
    logger.info('stopped')
  }

  /**
   * Waits until the orders of this daemon that may still take effect are settled: a lease holder can settle them only some
   * time after this daemon has left the roster.
   */
  private async waitForOrdersToSettle (): Promise<void> {
    const { streams: { placement }, incarnationId } = this.components
    await placement.waitUntil(() => placement.stateMachine.countIntentsByHolder(incarnationId) === 0, ORDER_SETTLE_TIMEOUT_MS)
  }
}

/**
 * Throws if the environment makes Node.js use io_uring.
 *
 * @example
 * checkEnvironment(process.env)
 */
export function checkEnvironment (environment: NodeJS.ProcessEnv): void {
  invariant((environment['UV_USE_IO_URING'] ?? '0') === '0', 'UV_USE_IO_URING is set: the daemon does not support io_uring')
}
