/**
 * Forwards requests to other daemons while this one reaches no runner. A daemon that gets a forwarded request sends it to
 * runners as its own, and never forwards it again.
 */
import { Refusal, type Clock, type Outcome } from 'figquay'
import { waitUnlessAborted } from './FigquayServingCallerWait.js'
import { pickRandom } from './FigquayServingRandom.js'
import type { ResponseSink, ServedRequest } from './FigquayServingTypes.js'
import type { ServingTelemetry } from './FigquayServingTelemetry.js'

/** What a daemon tells others about its ability to serve requests for them. */
export interface ForwardingOffer {
  /** `ip:port` for forwarded requests; undefined if the daemon takes none. */
  readonly address: string | undefined
  /** Whether it reaches runners and goes on running. */
  readonly isAvailable: boolean
}

/** What the daemon that serves a forwarded request needs to know of it beyond its bytes. */
export interface ForwardedState {
  readonly fingerprint: string
  readonly keyDigest: string | undefined
  readonly remainingMs: number
  /** Attempts that count towards the route's limit. */
  readonly countedRuns: number
}

/** One event of a forwarded request. */
export type ForwardingEvent =
  | { readonly type: 'head', readonly status: number, readonly head: unknown }
  | { readonly type: 'data', readonly bytes: Buffer }
  | { readonly type: 'end' }
  /** The other daemon refuses the request. */
  | { readonly type: 'refused', readonly refusal: Refusal }
  | { readonly type: 'failed', readonly execution: 'not-run' | 'unknown', readonly message: string }

/** Sends requests to other daemons. */
export abstract class ForwardingClient {
  /** Forwards a request and yields its response, ending with `end`, `refused` or `failed`; after an abort it yields nothing more. */
  abstract forwardRequest (address: string, request: ServedRequest, state: ForwardedState, areKeysNeeded: boolean, signal: AbortSignal): AsyncGenerator<ForwardingEvent, void, void>
}

/** Dependencies of the forwarder. */
export interface ForwarderOptions {
  readonly self: string
  readonly zone: string
  readonly clock: Clock
  readonly client: ForwardingClient
  /** Data centre of each known daemon, by address. */
  readonly listDaemons: () => ReadonlyMap<string, string>
  readonly listConnected: () => readonly string[]
  readonly callPeer: <T>(peer: string, method: string, params: unknown, timeoutMs: number) => Promise<Outcome<T, string>>
  readonly telemetry: ServingTelemetry
}

/** Outcome of forwarding a request. */
export type ForwardingResult =
  | { readonly type: 'answered', readonly status: number }
  | { readonly type: 'refused', readonly refusal: Refusal }
  /** No daemon is known that could serve it. */
  | { readonly type: 'unavailable' }
  /** The other daemon was lost; the request may have run. */
  | { readonly type: 'lost', readonly hasResponseStarted: boolean, readonly message: string }

/** A daemon that can serve requests for this one. */
interface ForwardingTarget {
  readonly peer: string
  readonly address: string
}

/** Time for which an offer, or its absence, is trusted, in milliseconds: a fraction of the time in which a cut must be noticed. */
const OFFER_EXPIRY_MS = 500
const OFFER_TIMEOUT_MS = 300
/** Daemons that are asked at the same time. */
const ASKED_AT_ONCE = 3
/** Rounds of asking, so that a request finds one of few daemons that reach runners. */
const MAX_ROUNDS = 3
/** Daemons that one request may be forwarded to, if the ones before have not run it. */
const MAX_FORWARDS = 3

/** Forwards the requests of one daemon. */
export class RequestForwarder {
  private readonly offers = new Map<string, { readonly offer: ForwardingOffer | undefined, readonly atMs: number }>()

  private constructor (private readonly options: ForwarderOptions) {}

  /**
   * @example
   * const forwarder = RequestForwarder.create(options)
   */
  static create (options: ForwarderOptions): RequestForwarder {
    return new RequestForwarder(options)
  }

  /**
   * Forwards a request until a daemon has run or finally refused it.
   *
   * @param makeState Returns what the other daemon needs to know; called for each attempt, as time passes between them.
   * @example
   * const result = await forwarder.forwardRequest(request, () => state, false, sink, signal)
   */
  async forwardRequest (request: ServedRequest, makeState: () => ForwardedState, areKeysNeeded: boolean, sink: ResponseSink, signal: AbortSignal): Promise<ForwardingResult> {
    const { telemetry } = this.options
    const tried = new Set<string>()
    let last: ForwardingResult = { type: 'unavailable' }
    while (tried.size < MAX_FORWARDS && !signal.aborted) {
      const target = await this.findTarget(tried)
      if (target === undefined || signal.aborted) return last
      tried.add(target.peer)
      const result = await this.forwardOnce(target, request, makeState(), areKeysNeeded, sink, signal)
      telemetry.noteForwarding(request, result.type)
      telemetry.recordDecision('forwarded to another daemon', request, { peer: target.peer, outcome: result.type, reason: result.type === 'refused' ? result.refusal.message : result.type === 'lost' ? result.message : undefined })
      if (result.type === 'answered' || result.type === 'lost') return result
      last = result
      if (result.type === 'refused' && result.refusal.code !== 'draining') return result
      this.offers.set(target.peer, { offer: undefined, atMs: this.options.clock.readMonotonicMs() })
    }
    return last
  }

  private async forwardOnce ({ address }: ForwardingTarget, request: ServedRequest, state: ForwardedState, areKeysNeeded: boolean, sink: ResponseSink, signal: AbortSignal): Promise<ForwardingResult> {
    let status: number | undefined
    for await (const event of this.options.client.forwardRequest(address, request, state, areKeysNeeded, signal)) {
      if (event.type === 'refused') return { type: 'refused', refusal: event.refusal }
      if (event.type === 'failed' && event.execution === 'not-run') return { type: 'unavailable' }
      if (event.type === 'failed') return { type: 'lost', hasResponseStarted: status !== undefined, message: event.message }
      if (event.type === 'end') {
        sink.finishResponse()
        return { type: 'answered', status: status! }
      }
      if (event.type === 'head') {
        status = event.status
        sink.startResponse(event.status, event.head)
        continue
      }
      const waiting = sink.writeBytes(event.bytes)
      if (waiting !== undefined) await waitUnlessAborted(waiting, signal)
    }
    return { type: 'lost', hasResponseStarted: status !== undefined, message: 'the request was ended' }
  }

  /** Finds a daemon that reaches runners: in this data centre if possible, and at random, so that no daemon gets all requests. */
  private async findTarget (tried: ReadonlySet<string>): Promise<ForwardingTarget | undefined> {
    const { zone, listDaemons, listConnected, self } = this.options
    const daemons = listDaemons()
    const connected = new Set(listConnected())
    const others = [...daemons.keys()].filter((peer) => peer !== self && !tried.has(peer))
    const rank = (peer: string): number => (connected.has(peer) ? 0 : 2) + (daemons.get(peer) === zone ? 0 : 1)
    const candidates = pickRandom(others, others.length).sort((a, b) => rank(a) - rank(b))
    for (let first = 0; first < Math.min(candidates.length, ASKED_AT_ONCE * MAX_ROUNDS); first += ASKED_AT_ONCE) {
      const targets = await Promise.all(candidates.slice(first, first + ASKED_AT_ONCE).map((peer) => this.requestOffer(peer)))
      const target = targets.find((candidate) => candidate !== undefined)
      if (target !== undefined) return target
    }
    return undefined
  }

  private async requestOffer (peer: string): Promise<ForwardingTarget | undefined> {
    const { clock, callPeer } = this.options
    const known = this.offers.get(peer)
    let offer = known?.offer
    if (known === undefined || clock.readMonotonicMs() - known.atMs > OFFER_EXPIRY_MS) {
      const reply = await callPeer<ForwardingOffer>(peer, 'forwarding.offer', {}, OFFER_TIMEOUT_MS)
      offer = reply.ok ? reply.value : undefined
      this.offers.set(peer, { offer, atMs: clock.readMonotonicMs() })
    }
    return offer?.isAvailable === true && offer.address !== undefined ? { peer, address: offer.address } : undefined
  }
}
