/** Stand-in of the weight store: transfers at full speed up to a knee, proportionally slower beyond. */
import type { Server } from 'node:http'
import type { Clock } from 'figquay'
import { readJson, startServer } from './FigquayStandinsHttp.js'

/** Speed of one sort of transfer. */
export interface StoreLane {
  /** Time of one transfer at full speed, in milliseconds. */
  readonly transferMs: number
  /** Transfers at once at full speed. */
  readonly knee: number
}

/** Options of the store. */
export interface StandinStoreOptions {
  readonly models: StoreLane
  readonly adapters: StoreLane
}

const TICK_MS = 10

interface Transfer {
  leftMs: number
  readonly finish: () => void
}

/** The transfers of one lane; each tick moves all of them on. */
class LaneTransfers {
  private readonly active = new Set<Transfer>()
  private highest = 0
  /** Multiplies the time of transfers that start from now on. */
  scale = 1

  constructor (private readonly lane: StoreLane, private readonly clock: Clock) {}

  get peak (): number {
    return this.highest
  }

  run (): Promise<void> {
    return new Promise((resolve) => {
      this.active.add({ leftMs: this.lane.transferMs * this.scale, finish: resolve })
      this.highest = Math.max(this.highest, this.active.size)
      if (this.active.size === 1) this.advance()
    })
  }

  private async advance (): Promise<void> {
    let last = this.clock.readMonotonicMs()
    while (this.active.size > 0) {
      await this.clock.waitFor(Math.min(TICK_MS, this.lane.transferMs))
      const now = this.clock.readMonotonicMs()
      const progress = (now - last) * Math.min(1, this.lane.knee / this.active.size)
      last = now
      for (const transfer of [...this.active]) {
        transfer.leftMs -= progress
        if (transfer.leftMs > 0) continue
        this.active.delete(transfer)
        transfer.finish()
      }
    }
  }
}

/** The weight store. */
export class StandinStore {
  private readonly models: LaneTransfers
  private readonly adapters: LaneTransfers
  private served = 0

  private constructor (options: StandinStoreOptions, clock: Clock) {
    this.models = new LaneTransfers(options.models, clock)
    this.adapters = new LaneTransfers(options.adapters, clock)
  }

  /**
   * @example
   * const store = StandinStore.create({ models: { transferMs: 8_000, knee: 8 }, adapters: { transferMs: 8, knee: 60 } }, clock)
   */
  static create (options: StandinStoreOptions, clock: Clock): StandinStore {
    return new StandinStore(options, clock)
  }

  /** Listens on loopback. */
  start (port: number): Promise<Server> {
    return startServer(port, async (request, _response, url) => {
      if (url.pathname === '/standin/control') {
        this.models.scale = (await readJson<{ scale: number }>(request))?.scale ?? 1
        return { status: 200, body: { scale: this.models.scale } }
      }
      if (url.pathname === '/standin/facts') return { status: 200, body: { served: this.served, peakModels: this.models.peak, peakAdapters: this.adapters.peak } }
      await (url.pathname.startsWith('/adapters/') ? this.adapters : this.models).run()
      this.served += 1
      return { status: 200, body: { loaded: url.pathname } }
    })
  }
}
