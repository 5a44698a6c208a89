/** Virtual time for tests: waiting costs nothing, and all that is due at one moment runs before time advances. */
import type { Clock } from 'figquay'

interface Timer {
  readonly dueAtMs: number
  readonly serial: number
  readonly wake: () => void
}

/** Passes of the event loop after each advance: promise chains of the woken tasks end within them. */
const SETTLE_PASSES = 2

/** Clock whose time advances only in `runFor`. */
export class SimulatedClock implements Clock {
  private nowMs = 1_000_000
  private serial = 0
  /** Binary heap by due time, then by order of creation. */
  private readonly heap: Timer[] = []

  private constructor () {}

  /**
   * @example
   * const clock = SimulatedClock.create()
   */
  static create (): SimulatedClock {
    return new SimulatedClock()
  }

  now (): Date {
    return new Date(this.nowMs)
  }

  readMonotonicMs (): number {
    return this.nowMs
  }

  waitFor (ms: number, signal?: AbortSignal): Promise<void> {
    if (signal?.aborted) return Promise.resolve()
    return new Promise((resolve) => {
      const wake = (): void => {
        signal?.removeEventListener('abort', wake)
        resolve()
      }
      signal?.addEventListener('abort', wake, { once: true })
      this.push({ dueAtMs: this.nowMs + Math.max(0, ms), serial: ++this.serial, wake })
    })
  }

  /** Advances the time without running what is due, as for a process that is held up. */
  skip (ms: number): void {
    this.nowMs += ms
  }

  /** Runs everything that is due within the next `ms` milliseconds. */
  async runFor (ms: number): Promise<void> {
    const untilMs = this.nowMs + ms
    await this.settle()
    while (this.heap.length > 0 && this.heap[0]!.dueAtMs <= untilMs) {
      this.nowMs = Math.max(this.nowMs, this.heap[0]!.dueAtMs)
      while (this.heap.length > 0 && this.heap[0]!.dueAtMs <= this.nowMs) this.pop().wake()
      await this.settle()
    }
    this.nowMs = untilMs
  }

  private async settle (): Promise<void> {
    for (let pass = 0; pass < SETTLE_PASSES; pass += 1) await new Promise((resolve) => setImmediate(resolve))
  }

  private push (timer: Timer): void {
    const { heap } = this
    let index = heap.push(timer) - 1
    while (index > 0) {
      const parent = (index - 1) >> 1
      if (!isBefore(heap[index]!, heap[parent]!)) break
      swap(heap, index, parent)
      index = parent
    }
  }

  private pop (): Timer {
    const { heap } = this
    const first = heap[0]!
    const last = heap.pop()!
    if (heap.length === 0) return first
    heap[0] = last
    let index = 0
    while (true) {
      const children = [2 * index + 1, 2 * index + 2].filter((child) => child < heap.length)
      const earliest = children.reduce((best, child) => isBefore(heap[child]!, heap[best]!) ? child : best, index)
      if (earliest === index) return first
      swap(heap, index, earliest)
      index = earliest
    }
  }
}

function isBefore (a: Timer, b: Timer): boolean {
  return a.dueAtMs < b.dueAtMs || (a.dueAtMs === b.dueAtMs && a.serial < b.serial)
}

function swap (heap: Timer[], a: number, b: number): void {
  [heap[a], heap[b]] = [heap[b]!, heap[a]!]
}
