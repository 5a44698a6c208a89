/** Routes calls to plain services: selects upstreams, retries calls that may repeat, and sends all others at most once. */
import { Refusal, type Clock, type Logger, type TaskGroup } from 'figquay'
import type { Membership, Vm } from 'figquay-membership'
import type { PlainServiceClient, ServiceCall, ServiceReply } from 'figquay-upstreams'
import type { RetryBudget } from './FigquayRoutingRetryBudget.js'
import type { RequestTraces } from './FigquayRoutingTrace.js'

/** Dependencies of the service router. */
export interface ServiceRouterOptions {
  readonly clock: Clock
  readonly logger: Logger
  readonly membership: Membership
  readonly client: PlainServiceClient
  readonly retryBudget: RetryBudget
  readonly traces: RequestTraces
}

const HEALTH_CHECK_INTERVAL_MS = 800
/** An upstream is avoided for this long after a failed call or health check. */
const COOLDOWN_MS = 500
const MAX_ATTEMPTS = 4
const RETRY_AFTER_MS = 1_000
const MIN_ATTEMPT_TIMEOUT_MS = 150
/** Timeout of an attempt as a fraction of the remaining time, which leaves time for another attempt. */
const ATTEMPT_TIMEOUT_FRACTION = 0.4

/** Routes calls to the upstreams of plain services. */
export class ServiceRouter {
  private readonly inFlight = new Map<string, number>()
  private readonly cooldownUntilMs = new Map<string, number>()

  private constructor (private readonly options: ServiceRouterOptions) {}

  /**
   * @example
   * const router = ServiceRouter.create(options)
   */
  static create (options: ServiceRouterOptions): ServiceRouter {
    return new ServiceRouter(options)
  }

  /**
   * Starts the periodic health checks of all service upstreams.
   *
   * @example
   * router.start(tasks)
   */
  start (tasks: TaskGroup): void {
    tasks.startLoop('service health checks', HEALTH_CHECK_INTERVAL_MS, async () => {
      await Promise.all(this.options.membership.listVms('service').map((vm) => this.checkHealth(vm)))
    })
  }

  /**
   * Sends a call that may run more than once; retries it on other upstreams within its timeout and the retry budget.
   *
   * @example
   * const reply = await router.sendRetryable('ledger', call, signal)
   */
  async sendRetryable (service: string, call: ServiceCall, signal: AbortSignal): Promise<ServiceReply | Refusal> {
    this.options.retryBudget.recordRequest()
    const deadlineMs = this.options.clock.readMonotonicMs() + call.timeoutMs
    const tried = new Set<string>()
    let mayHaveRun = false
    for (let attempt = 0; attempt < MAX_ATTEMPTS && !signal.aborted; attempt++) {
      const remainingMs = deadlineMs - this.options.clock.readMonotonicMs()
      if (remainingMs < MIN_ATTEMPT_TIMEOUT_MS) break
      const vm = this.selectUpstream(service, tried)
      if (vm === undefined) break
      const timeoutMs = Math.max(MIN_ATTEMPT_TIMEOUT_MS, remainingMs * ATTEMPT_TIMEOUT_FRACTION)
      const reply = await this.sendTo(vm, { ...call, timeoutMs }, signal)
      if (reply.ok && !reply.value.isNotRun) return reply.value
      tried.add(vm.id)
      if (reply.ok || reply.error.sent === 'never') continue
      mayHaveRun = true
      if (!this.options.retryBudget.tryConsumeRetry()) break
    }
    return Refusal.create(mayHaveRun ? 'upstream_failed' : 'no_upstream', `no upstream of ${service} answered`, { execution: mayHaveRun ? 'unknown' : 'not-run', retryAfterMs: RETRY_AFTER_MS })
  }

  /**
   * Sends a call that must not repeat. It goes to another upstream only if the previous one certainly did not run it.
   *
   * @example
   * const reply = await router.sendAtMostOnce('ledger', call)
   */
  async sendAtMostOnce (service: string, call: ServiceCall): Promise<ServiceReply | Refusal> {
    const tried = new Set<string>()
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      const vm = this.selectUpstream(service, tried)
      if (vm === undefined) break
      const reply = await this.sendTo(vm, call)
      if (reply.ok && !reply.value.isNotRun) return reply.value
      if (!reply.ok && reply.error.sent === 'maybe') {
        return Refusal.create('outcome_unknown', `${vm.id}: ${reply.error.message}`, { execution: 'unknown', retryAfterMs: RETRY_AFTER_MS })
      }
      tried.add(vm.id)
    }
    return Refusal.create('no_upstream', `no upstream of ${service} accepted the call`, { retryAfterMs: RETRY_AFTER_MS })
  }

  private async checkHealth (vm: Vm): Promise<void> {
    const health = await this.options.client.readHealth(vm.url)
    if (!health.ok) this.startCooldown(vm.id)
    else if (health.value.leaving) this.options.membership.markLeaving(vm.id, 'vm')
  }

  private async sendTo (vm: Vm, call: ServiceCall, signal?: AbortSignal): ReturnType<PlainServiceClient['sendCall']> {
    this.options.traces.addEvent(call.requestId, 'sent', `${call.method} ${call.path} to ${vm.id}`)
    this.inFlight.set(vm.id, (this.inFlight.get(vm.id) ?? 0) + 1)
    const reply = await this.options.client.sendCall(vm.url, call, signal)
    this.inFlight.set(vm.id, this.inFlight.get(vm.id)! - 1)
    if (!reply.ok) {
      this.options.traces.addEvent(call.requestId, 'failed', `${vm.id}: ${reply.error.reason}, ${reply.error.message}`)
      if (reply.error.reason !== 'cancelled') this.startCooldown(vm.id)
    }
    return reply
  }

  private startCooldown (id: string): void {
    this.cooldownUntilMs.set(id, this.options.clock.readMonotonicMs() + COOLDOWN_MS)
  }

  /** Selects the upstream with the fewest calls in flight, preferring untried upstreams and those not cooling down. */
  private selectUpstream (service: string, tried: ReadonlySet<string>): Vm | undefined {
    const nowMs = this.options.clock.readMonotonicMs()
    const available = this.options.membership.listVms('service', service).filter((vm) => !this.options.membership.isLeaving(vm.id))
    const isCoolingDown = (vm: Vm): boolean => nowMs < (this.cooldownUntilMs.get(vm.id) ?? 0)
    // Once every upstream has been tried, they may be tried again on new connections.
    const untried = available.filter((vm) => !tried.has(vm.id))
    const candidates = untried.length > 0 ? untried : available
    const healthy = candidates.filter((vm) => !isCoolingDown(vm))
    return this.selectLeastBusy(healthy.length > 0 ? healthy : candidates)
  }

  /** Breaks ties at random. */
  private selectLeastBusy (vms: readonly Vm[]): Vm | undefined {
    const offset = Math.floor(Math.random() * vms.length)
    const rotated = [...vms.slice(offset), ...vms.slice(0, offset)]
    const countInFlight = (vm: Vm): number => this.inFlight.get(vm.id) ?? 0
    return rotated.reduce<Vm | undefined>((best, vm) => best === undefined || countInFlight(vm) < countInFlight(best) ? vm : best, undefined)
  }
}
