/** Which prompt parts this daemon has sent to which runner of late, and so are probably still cached there. */
import type { Clock } from 'figquay'
import type { PromptPart } from './FigquayFleetTypes.js'

/** A runner's cache turns over within some tens of seconds at full load, in milliseconds. */
const REMEMBERED_MS = 20_000
/** Entries kept: some hundred sessions on each of a hundred runners. */
const MOST_ENTRIES = 20_000

/** Prompt parts by runner and model. */
export class PromptMemory {
  private readonly sentAtMs = new Map<string, number>()

  private constructor (private readonly clock: Clock) {}

  /**
   * @example
   * const memory = PromptMemory.create(clock)
   */
  static create (clock: Clock): PromptMemory {
    return new PromptMemory(clock)
  }

  /**
   * Notes that a runner has processed the parts of a prompt under a model.
   *
   * @example
   * memory.noteParts('runner-1', 'manual/a3', parts)
   */
  noteParts (runnerId: string, weights: string, parts: readonly PromptPart[]): void {
    for (const part of parts) {
      const key = `${runnerId}\n${weights}\n${part.id}`
      this.sentAtMs.delete(key)
      this.sentAtMs.set(key, this.clock.readMonotonicMs())
    }
    while (this.sentAtMs.size > MOST_ENTRIES) this.sentAtMs.delete(this.sentAtMs.keys().next().value!)
  }

  /**
   * Tokens of a prompt that a runner need not process again: the parts from its beginning that it has.
   *
   * @example
   * memory.countCached('runner-1', 'manual/a3', parts)
   */
  countCached (runnerId: string, weights: string, parts: readonly PromptPart[]): number {
    const oldestMs = this.clock.readMonotonicMs() - REMEMBERED_MS
    let tokens = 0
    for (const part of parts) {
      if ((this.sentAtMs.get(`${runnerId}\n${weights}\n${part.id}`) ?? -Infinity) < oldestMs) break
      tokens += part.tokens
    }
    return tokens
  }
}
