/** One daemon: started in order and stopped without cutting anything off. */
import { invariant } from 'figquay'
import { registerCallerGateway } from 'figquay-gateway'
import { DaemonParts } from './FigquaydParts.js'
import type { ChosenPlugins } from './FigquaydPlugins.js'
import type { Settings } from './FigquaydSettings.js'

const DRAIN_POLL_MS = 50
const SETTLE_ORDERS_MS = 8_000

/** A running daemon. */
export class Daemon {
  private undoCallers: (() => Promise<void>) | undefined
  private stopping: Promise<void> | undefined

  private constructor (private readonly parts: DaemonParts) {}

  /**
   * @example
   * const daemon = Daemon.create(settings, plugins)
   * await daemon.start()
   */
  static create (settings: Settings, plugins: ChosenPlugins): Daemon {
    return new Daemon(DaemonParts.create(settings, plugins))
  }

  /** Listens and starts every task. */
  async start (): Promise<void> {
    const { settings: { listen }, membership, mesh, operators, tasks, broker, logger } = this.parts
    await membership.refresh()
    await mesh.listen(listen.peers.host, listen.peers.port)
    await operators.listen(listen.operators.host, listen.operators.port)
    membership.start(tasks)
    membership.registerListener(() => this.parts.connectPeers())
    membership.registerListener(() => this.parts.hintExchange.planHints())
    this.parts.connectPeers()
    this.parts.streams.start(tasks, mesh)
    this.parts.monitor.start(tasks)
    this.parts.services.start(tasks)
    this.parts.placement.start(tasks)
    this.parts.hintExchange.start(tasks)
    this.undoCallers = registerCallerGateway(broker, this.parts.makeGatewayContext(), listen.callers)
    await broker.start()
    logger.info('listening', { callers: listen.callers, operators: listen.operators, peers: listen.peers })
  }

  /**
   * Stops gracefully: nothing in flight is cut off, however long it takes. A second call changes nothing.
   *
   * @example
   * process.on('SIGTERM', () => daemon.stop())
   */
  stop (): Promise<void> {
    this.stopping ??= this.drain()
    return this.stopping
  }

  private async drain (): Promise<void> {
    const { logger, leases, clock, settings, activeExchanges, idempotency, tasks, operators, mesh, broker, plugins } = this.parts
    this.parts.beginDraining()
    logger.info('draining', { active: activeExchanges.size })
    await leases.releaseAll()
    // Until the balancer has seen that this daemon is not ready it still sends callers here.
    await clock.waitFor(settings.drainGrace)
    while (activeExchanges.size > 0) await clock.waitFor(DRAIN_POLL_MS)
    await this.undoCallers?.()
    await idempotency.flush()
    await this.waitForOrders()
    await tasks.stop()
    operators.close()
    mesh.close()
    await broker.stop()
    for (const plugin of [plugins.log, plugins.roster, plugins.engines, plugins.services]) plugin.close()
    logger.info('stopped')
  }

  /** Orders that may still act are settled before the one that can settle them goes. */
  private async waitForOrders (): Promise<void> {
    const { streams: { placement }, holder } = this.parts
    await placement.waitUntil(() => placement.fold.countIntentsByHolder(holder) === 0, SETTLE_ORDERS_MS)
  }
}

/**
 * Refuses an environment in which Node.js would use io_uring.
 *
 * @example
 * checkEnvironment(process.env)
 */
export function checkEnvironment (environment: NodeJS.ProcessEnv): void {
  invariant((environment['UV_USE_IO_URING'] ?? '0') === '0', 'UV_USE_IO_URING is set: the daemon does not run with io_uring')
}
