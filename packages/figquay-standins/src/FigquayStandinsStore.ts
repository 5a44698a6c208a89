/** Stand-in for the weight store: a limited number of transfers run at full speed, more than that share the bandwidth evenly. */
import type { Server } from 'node:http'
import type { Clock } from 'figquay'
import { readJson, startServer } from './FigquayStandinsHttp.js'

/** Speed of one class of transfers. */
export interface TransferClassOptions {
  /** Duration of a transfer at full speed, in milliseconds. */
  readonly transferMs: number
  /** Concurrent transfers that still run at full speed. */
  readonly knee: number
}

/** Options of the store: its two classes of transfers. */
export interface StandinStoreOptions {
  readonly models: TransferClassOptions
  readonly adapters: TransferClassOptions
}

const PROGRESS_TICK_MS = 10

interface Transfer {
  /** Remaining duration at full speed, in milliseconds. */
  remainingMs: number
  readonly finish: () => void
}

/** Concurrent transfers of one class; each tick advances all of them. */
class TransferPool {
  private readonly active = new Set<Transfer>()
  private peakCount = 0
  /** Multiplies the duration of transfers that start from now on. */
  durationScale = 1

  constructor (private readonly options: TransferClassOptions, private readonly clock: Clock) {}

  /** Highest number of concurrent transfers so far. */
  get peak (): number {
    return this.peakCount
  }

  runTransfer (): Promise<void> {
    return new Promise((resolve) => {
      this.active.add({ remainingMs: this.options.transferMs * this.durationScale, finish: resolve })
      this.peakCount = Math.max(this.peakCount, this.active.size)
      if (this.active.size === 1) this.advanceTransfers()
    })
  }

  private async advanceTransfers (): Promise<void> {
    let lastTickMs = this.clock.readMonotonicMs()
    while (this.active.size > 0) {
      await this.clock.waitFor(Math.min(PROGRESS_TICK_MS, this.options.transferMs))
      const nowMs = this.clock.readMonotonicMs()
      const progressMs = (nowMs - lastTickMs) * Math.min(1, this.options.knee / this.active.size)
      lastTickMs = nowMs
      for (const transfer of [...this.active]) {
        transfer.remainingMs -= progressMs
        if (transfer.remainingMs > 0) continue
        this.active.delete(transfer)
        transfer.finish()
      }
    }
  }
}

/** Weight store that serves models and adapters. */
export class StandinStore {
  private readonly models: TransferPool
  private readonly adapters: TransferPool
  private servedCount = 0

  private constructor (options: StandinStoreOptions, clock: Clock) {
    this.models = new TransferPool(options.models, clock)
    this.adapters = new TransferPool(options.adapters, clock)
  }

  /**
   * @example
   * const store = StandinStore.create({ models: { transferMs: 8_000, knee: 8 }, adapters: { transferMs: 8, knee: 60 } }, clock)
   */
  static create (options: StandinStoreOptions, clock: Clock): StandinStore {
    return new StandinStore(options, clock)
  }

  /** Starts the HTTP server on the loopback interface. `POST /standin/control` scales the duration of model transfers only. */
  start (port: number): Promise<Server> {
    return startServer(port, async (request, _response, url) => {
      if (url.pathname === '/standin/control') {
        this.models.durationScale = (await readJson<{ scale: number }>(request))?.scale ?? 1
        return { status: 200, body: { scale: this.models.durationScale } }
      }
      if (url.pathname === '/standin/facts') return { status: 200, body: { served: this.servedCount, peakModels: this.models.peak, peakAdapters: this.adapters.peak } }
      await (url.pathname.startsWith('/adapters/') ? this.adapters : this.models).runTransfer()
      this.servedCount += 1
      return { status: 200, body: { loaded: url.pathname } }
    })
  }
}
