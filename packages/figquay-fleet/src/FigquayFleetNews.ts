/** Short-lived news that every daemon should hear soon: what a runner holds now, and that it leaves. What binds for longer is a fact. */
import type { Clock } from 'figquay'
import type { HeldModel, Holdings } from './FigquayFleetTypes.js'

/** What a runner holds, as its holder has read it. */
export interface HoldingsNews {
  readonly type: 'holdings'
  readonly runner: string
  readonly bornMs: number
  readonly holdings: Holdings
  /** Fencing number of the holder; a higher one makes the news newer. */
  readonly fence: number
  /** Count of the holder's news; a higher one under the same fence makes the news newer. */
  readonly serial: number
}

/** A runner that leaves, as it has said itself or its announcement has. */
export interface LeavingNews {
  readonly type: 'leaving'
  readonly runner: string
  /** Start of the runner that leaves. */
  readonly bornMs: number
}

export type NewsItem = HoldingsNews | LeavingNews

/**
 * Whether a peer's message is an item of news: versions of the daemon that differ, or a fault, may send anything.
 *
 * @example
 * items.filter(isNewsItem)
 */
export function isNewsItem (item: unknown): item is NewsItem {
  if (typeof item !== 'object' || item === null) return false
  const { type, runner, bornMs, holdings, fence, serial } = item as Record<string, unknown>
  if (typeof runner !== 'string' || typeof bornMs !== 'number') return false
  return type === 'leaving' || (type === 'holdings' && typeof fence === 'number' && typeof serial === 'number' && isHoldings(holdings))
}

function isHoldings (value: unknown): value is Holdings {
  if (typeof value !== 'object' || value === null) return false
  const { models, coming, inMemory, onDisk } = value as Record<string, unknown>
  return [coming, inMemory, onDisk].every(Array.isArray) && Array.isArray(models) &&
    models.every((held: unknown) => typeof (held as HeldModel | null)?.name === 'string' && Array.isArray((held as HeldModel).adapters))
}

interface Entry {
  readonly item: NewsItem
  /** Place among this daemon's news. */
  readonly revision: number
  readonly atMs: number
}

/** News is passed on for this long, in milliseconds: announcements of runners take over. */
const NEWS_KEPT_MS = 10_000

/** News of one daemon, by what it is about. */
export class FleetNews {
  private readonly entries = new Map<string, Entry>()
  private latest = 0

  private constructor (private readonly clock: Clock) {}

  /**
   * @example
   * const news = FleetNews.create(clock)
   */
  static create (clock: Clock): FleetNews {
    return new FleetNews(clock)
  }

  /** Revision of the newest item. */
  get revision (): number {
    return this.latest
  }

  /**
   * Keeps an item; false when it, or a newer one about the same, is known.
   *
   * @example
   * if (news.addItem(item)) table.putHoldings(item.runner, item.bornMs, item.holdings)
   */
  addItem (item: NewsItem): boolean {
    const key = makeKey(item)
    const known = this.entries.get(key)?.item
    if (known !== undefined && !isNewer(item, known)) return false
    this.latest += 1
    this.entries.delete(key)
    this.entries.set(key, { item, revision: this.latest, atMs: this.clock.readMonotonicMs() })
    return true
  }

  /** Items after a revision, oldest first. */
  listAfter (revision: number): NewsItem[] {
    const oldestMs = this.clock.readMonotonicMs() - NEWS_KEPT_MS
    for (const [key, entry] of this.entries) {
      if (entry.atMs >= oldestMs) break
      this.entries.delete(key)
    }
    return [...this.entries.values()].filter((entry) => entry.revision > revision).map((entry) => entry.item)
  }
}

/** Items with the same key are about the same. */
function makeKey (item: NewsItem): string {
  return `${item.type}\n${item.runner}`
}

function isNewer (item: NewsItem, known: NewsItem): boolean {
  if (item.type === 'leaving' && known.type === 'leaving') return item.bornMs > known.bornMs
  if (item.type !== 'holdings' || known.type !== 'holdings') return false
  return item.fence === known.fence ? item.serial > known.serial : item.fence > known.fence
}
