/** Tracks which prompt parts this daemon recently sent to which runner, and so are probably still cached there. */
import type { Clock } from 'figquay'
import type { PromptPart } from './FigquayFleetTypes.js'

/** Parts count as cached for this long, in milliseconds: at full load a runner's cache turns over within tens of seconds. */
const CACHE_ENTRY_TTL_MS = 20_000
/** Maximum number of entries: a few hundred sessions on each of a hundred runners. */
const MAX_ENTRIES = 20_000

/** Prompt parts by runner and model; the oldest entries are evicted first. */
export class PromptCacheIndex {
  private readonly sentAtMs = new Map<string, number>()

  private constructor (private readonly clock: Clock) {}

  /**
   * @example
   * const promptCache = PromptCacheIndex.create(clock)
   */
  static create (clock: Clock): PromptCacheIndex {
    return new PromptCacheIndex(clock)
  }

  /**
   * Records that the parts of a prompt were sent to a runner.
   *
   * @param modelKey Model, or adapter key, that processes the prompt: cache entries aren't shared between them.
   * @example
   * promptCache.noteParts('runner-1', 'manual/a3', parts)
   */
  noteParts (runnerId: string, modelKey: string, parts: readonly PromptPart[]): void {
    for (const part of parts) {
      const key = `${runnerId}\n${modelKey}\n${part.id}`
      this.sentAtMs.delete(key)
      this.sentAtMs.set(key, this.clock.readMonotonicMs())
    }
    while (this.sentAtMs.size > MAX_ENTRIES) this.sentAtMs.delete(this.sentAtMs.keys().next().value!)
  }

  /**
   * Tokens of a prompt that a runner has probably cached: its leading parts, up to the first that is missing.
   *
   * @example
   * promptCache.countCachedTokens('runner-1', 'manual/a3', parts)
   */
  countCachedTokens (runnerId: string, modelKey: string, parts: readonly PromptPart[]): number {
    const oldestMs = this.clock.readMonotonicMs() - CACHE_ENTRY_TTL_MS
    let tokens = 0
    for (const part of parts) {
      if ((this.sentAtMs.get(`${runnerId}\n${modelKey}\n${part.id}`) ?? -Infinity) < oldestMs) break
      tokens += part.tokens
    }
    return tokens
  }
}
