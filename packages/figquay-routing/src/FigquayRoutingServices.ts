/** Routes calls to plain services: choice of upstream, retries of what may repeat, one send of what may not. */
import { Refusal, type Clock, type Logger, type TaskGroup } from 'figquay'
import type { Membership, Vm } from 'figquay-membership'
import type { PlainServiceClient, ServiceCall, ServiceReply } from 'figquay-upstreams'
import type { RetryBudget } from './FigquayRoutingRetryBudget.js'
import type { RequestTraces } from './FigquayRoutingTrace.js'

/** What the service router needs. */
export interface ServiceRouterOptions {
  readonly clock: Clock
  readonly logger: Logger
  readonly membership: Membership
  readonly client: PlainServiceClient
  readonly retryBudget: RetryBudget
  readonly traces: RequestTraces
}

const HEALTH_INTERVAL_MS = 800
const REST_MS = 500
const MOST_ATTEMPTS = 4
const RETRY_AFTER_MS = 1_000
const SHORTEST_ATTEMPT_MS = 150
/** An attempt may use this part of the time left, so that there is time for another. */
const ATTEMPT_PART = 0.4

/** Routes calls to plain services. */
export class ServiceRouter {
  private readonly inFlight = new Map<string, number>()
  private readonly restUntilMs = new Map<string, number>()

  private constructor (private readonly options: ServiceRouterOptions) {}

  /**
   * @example
   * const router = ServiceRouter.create(options)
   */
  static create (options: ServiceRouterOptions): ServiceRouter {
    return new ServiceRouter(options)
  }

  /**
   * Starts the task that asks every service for its health.
   *
   * @example
   * router.start(tasks)
   */
  start (tasks: TaskGroup): void {
    tasks.startLoop('service health', HEALTH_INTERVAL_MS, async () => {
      await Promise.all(this.options.membership.listVms('service').map((vm) => this.checkHealth(vm)))
    })
  }

  /**
   * Makes a call that may repeat; tries other upstreams while there is time.
   *
   * @example
   * const reply = await router.sendRepeatable('ledger', call, signal)
   */
  async sendRetryable (service: string, call: ServiceCall, signal: AbortSignal): Promise<ServiceReply | Refusal> {
    this.options.retryBudget.noteRequest()
    const deadline = this.options.clock.readMonotonicMs() + call.timeoutMs
    const tried = new Set<string>()
    let mayHaveRun = false
    for (let attempt = 0; attempt < MOST_ATTEMPTS && !signal.aborted; attempt++) {
      const left = deadline - this.options.clock.readMonotonicMs()
      if (left < SHORTEST_ATTEMPT_MS) break
      const vm = this.selectUpstream(service, tried)
      if (vm === undefined) break
      const timeoutMs = Math.max(SHORTEST_ATTEMPT_MS, left * ATTEMPT_PART)
      const reply = await this.sendTo(vm, { ...call, timeoutMs }, signal)
      if (reply.ok && !reply.value.notRun) return reply.value
      tried.add(vm.id)
      if (reply.ok || reply.error.sent === 'never') continue
      mayHaveRun = true
      if (!this.options.retryBudget.spendRetry()) break
    }
    return Refusal.create(mayHaveRun ? 'upstream_failed' : 'no_upstream', `no upstream of ${service} answered`, { execution: mayHaveRun ? 'unknown' : 'not-run', retryAfterMs: RETRY_AFTER_MS })
  }

  /**
   * Makes a call that must not repeat: at most one upstream may see it run.
   *
   * @example
   * const reply = await router.sendOnce('ledger', call)
   */
  async sendAtMostOnce (service: string, call: ServiceCall): Promise<ServiceReply | Refusal> {
    const tried = new Set<string>()
    for (let attempt = 0; attempt < MOST_ATTEMPTS; attempt++) {
      const vm = this.selectUpstream(service, tried)
      if (vm === undefined) break
      const reply = await this.sendTo(vm, call)
      if (reply.ok && !reply.value.notRun) return reply.value
      if (!reply.ok && reply.error.sent === 'maybe') {
        return Refusal.create('outcome_unknown', `${vm.id}: ${reply.error.message}`, { execution: 'unknown', retryAfterMs: RETRY_AFTER_MS })
      }
      tried.add(vm.id)
    }
    return Refusal.create('no_upstream', `no upstream of ${service} takes the call`, { retryAfterMs: RETRY_AFTER_MS })
  }

  private async checkHealth (vm: Vm): Promise<void> {
    const health = await this.options.client.readHealth(vm.url)
    if (!health.ok) this.restUpstream(vm.id)
    else if (health.value.leaving) this.options.membership.markLeaving(vm.id, 'vm')
  }

  private async sendTo (vm: Vm, call: ServiceCall, signal?: AbortSignal): ReturnType<PlainServiceClient['sendCall']> {
    this.options.traces.addEvent(call.requestId, 'sent', `${call.method} ${call.path} to ${vm.id}`)
    this.inFlight.set(vm.id, (this.inFlight.get(vm.id) ?? 0) + 1)
    const reply = await this.options.client.sendCall(vm.url, call, signal)
    this.inFlight.set(vm.id, this.inFlight.get(vm.id)! - 1)
    if (!reply.ok) {
      this.options.traces.addEvent(call.requestId, 'failed', `${vm.id}: ${reply.error.reason}, ${reply.error.message}`)
      if (reply.error.reason !== 'cancelled') this.restUpstream(vm.id)
    }
    return reply
  }

  private restUpstream (id: string): void {
    this.restUntilMs.set(id, this.options.clock.readMonotonicMs() + REST_MS)
  }

  /** The least busy upstream that was not tried yet; one that rests only when there is no other. */
  private selectUpstream (service: string, tried: ReadonlySet<string>): Vm | undefined {
    const now = this.options.clock.readMonotonicMs()
    const open = this.options.membership.listVms('service', service).filter((vm) => !this.options.membership.isLeaving(vm.id))
    const isResting = (vm: Vm): boolean => now < (this.restUntilMs.get(vm.id) ?? 0)
    // With every upstream tried once, the first may be tried again on a new connection.
    const fresh = open.filter((vm) => !tried.has(vm.id))
    const candidates = fresh.length > 0 ? fresh : open
    const rested = candidates.filter((vm) => !isResting(vm))
    return this.selectLeastBusy(rested.length > 0 ? rested : candidates)
  }

  private selectLeastBusy (vms: readonly Vm[]): Vm | undefined {
    const offset = Math.floor(Math.random() * vms.length)
    const turned = [...vms.slice(offset), ...vms.slice(0, offset)]
    const countBusy = (vm: Vm): number => this.inFlight.get(vm.id) ?? 0
    return turned.reduce<Vm | undefined>((best, vm) => best === undefined || countBusy(vm) < countBusy(best) ? vm : best, undefined)
  }
}
