/**
 * Who tells whom in a large fleet. Pure: no clock, no I/O.
 *
 * Answers this pattern: many daemons of which any may be gone, and loads that must be known everywhere within a fraction
 * of a second, without everybody talking to everybody. The daemons of a data centre rank by the hash of their address;
 * each tells the first above it that it reaches, and the first of each data centre tell each other.
 */
import { hashText } from 'figquay'

/** Daemons of each data centre, first rank first. */
export type RankedDaemons = ReadonlyMap<string, readonly string[]>

/** Whom a daemon is connected to, and what part it has. */
export interface FleetPart {
  /** Daemons to keep a connection to. */
  readonly neighbours: readonly string[]
  /** The daemon of one's own data centre to tell; undefined when one is the first there. */
  readonly uplink: string | undefined
  /** First daemons of the other data centres, as far as they can be reached; empty unless one is a first oneself. */
  readonly heads: readonly string[]
  /** First of its data centre, and no data centre that comes before has a first that can be reached. */
  readonly isFirstHead: boolean
}

/** Daemons of a data centre that everybody there is connected to. */
export const FIRST_PER_ZONE = 2

/**
 * Ranks the daemons of each data centre.
 *
 * @example
 * rankDaemons(new Map([['10.0.0.1:80', 'a'], ['10.0.0.2:80', 'a']])).get('a')
 */
export function rankDaemons (zones: ReadonlyMap<string, string>): RankedDaemons {
  const ranked = new Map<string, string[]>()
  for (const [address, zone] of zones) ranked.set(zone, [...ranked.get(zone) ?? [], address])
  for (const addresses of ranked.values()) addresses.sort((a, b) => hashText(a) < hashText(b) ? -1 : 1)
  return ranked
}

/**
 * A daemon's part.
 *
 * @param depth How many of a ranking to try; it grows while too few of them can be reached.
 * @example
 * selectPart('10.0.0.7:80', 'a', ranked, 2, (id) => mesh.isConnected(id)).uplink
 */
export function selectPart (self: string, zone: string, ranked: RankedDaemons, depth: number, isConnected: (daemon: string) => boolean): FleetPart {
  const own = ranked.get(zone) ?? [self]
  const above = own.slice(0, Math.max(0, own.indexOf(self)))
  const reached = above.filter(isConnected)
  const isHead = reached.length === 0
  const elsewhere = isHead ? [...ranked].filter(([name]) => name !== zone).map(([name, daemons]) => ({ name, daemons: daemons.slice(0, depth) })) : []
  const before = elsewhere.filter(({ name }) => hashText(name) < hashText(zone))
  return {
    neighbours: [...above.slice(0, depth), ...elsewhere.flatMap(({ daemons }) => daemons)],
    uplink: reached[0],
    heads: elsewhere.flatMap(({ daemons }) => daemons.find(isConnected) ?? []),
    isFirstHead: isHead && !before.some(({ daemons }) => daemons.some(isConnected))
  }
}

/**
 * How deep the rankings must be tried: as far as enough daemons are reached, or twice as deep as now if they aren't.
 *
 * @example
 * depth = measureDepth('10.0.0.7:80', 'a', ranked, depth, (id) => mesh.isConnected(id))
 */
export function measureDepth (self: string, zone: string, ranked: RankedDaemons, depth: number, isConnected: (daemon: string) => boolean): number {
  const own = ranked.get(zone) ?? [self]
  const above = own.slice(0, Math.max(0, own.indexOf(self)))
  const isHead = !above.some(isConnected)
  const others = isHead ? [...ranked].filter(([name]) => name !== zone).map(([, daemons]) => daemons) : []
  const needed = [findDepth(above, FIRST_PER_ZONE, isConnected), ...others.map((daemons) => findDepth(daemons, 1, isConnected))]
  const longest = Math.max(above.length, ...others.map((daemons) => daemons.length), FIRST_PER_ZONE)
  return Math.min(longest, Math.max(FIRST_PER_ZONE, ...needed.map((count) => count ?? depth * 2)))
}

/** Place of the `count`th daemon that is reached; 0 when there are no more than have been reached; undefined when some may be missing. */
function findDepth (daemons: readonly string[], count: number, isConnected: (daemon: string) => boolean): number | undefined {
  const places = daemons.flatMap((daemon, index) => isConnected(daemon) ? [index + 1] : [])
  if (places.length === daemons.length) return Math.min(count, daemons.length)
  return places[count - 1]
}
