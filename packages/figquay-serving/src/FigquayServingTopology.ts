/**
 * Tree along which the daemons of a large fleet exchange state. Pure: no clock, no I/O.
 *
 * Loads must reach every daemon within a fraction of a second although any daemon may be down, and a full mesh would need
 * too many connections. The daemons of a data centre are ranked by the processor of their VM, then by the hash of their
 * address. Each one exchanges state with its parent. A daemon that reaches none above it is the root of its data centre; the
 * roots exchange state with each other. The parents of the others are chosen so that each has about the square root of the
 * data centre's size as children, on two levels below the root: a daemon sends every change to all its children, and a VM's
 * link doesn't carry that for a whole data centre.
 */
import { hashText } from 'figquay'

/** Daemons by data centre, highest rank first. */
export type RankedDaemons = ReadonlyMap<string, readonly string[]>

/** Processor cores of the daemons' VMs, fractions included, by address; a daemon of an older release doesn't tell. */
export type ProcessorCores = ReadonlyMap<string, number>

/** Role of one daemon in the tree. */
export interface TreeRole {
  /** Daemons to stay connected to. */
  readonly neighbours: readonly string[]
  /** Parent in the daemon's own data centre; undefined for a root. */
  readonly parent: string | undefined
  /** Whether the ranking makes this daemon the parent of others. */
  readonly hasChildren: boolean
  /** Whether the root is the only daemon above this one that it reaches, so that it is the first to stand in for the root. */
  readonly isDeputy: boolean
  /** Reachable roots of the other data centres; empty unless this daemon is a root. */
  readonly otherRoots: readonly string[]
  /** Whether this daemon is a root and reaches no root of a data centre whose name hash sorts before its own. */
  readonly isPrimaryRoot: boolean
}

/** Smallest search depth: in its own data centre, each daemon stays connected to its parent and a spare. */
export const CANDIDATES_PER_ZONE = 2

/**
 * Ranks the daemons of each data centre: those of stronger VMs first, alike ones by the hash of their address. While the
 * processor of any daemon is unknown, all are ranked by the hash alone: daemons of an older release do, and one tree has to
 * join both.
 *
 * @param zones Data centre by daemon address.
 * @param cores Processor cores by daemon address.
 * @example
 * rankDaemons(new Map([['10.0.0.1:80', 'a'], ['10.0.0.2:80', 'a']]), new Map([['10.0.0.1:80', 0.243], ['10.0.0.2:80', 1.35]])).get('a') // 10.0.0.2:80 first
 */
export function rankDaemons (zones: ReadonlyMap<string, string>, cores: ProcessorCores = new Map()): RankedDaemons {
  const isComplete = [...zones.keys()].every((address) => cores.has(address))
  const ranked = new Map<string, Array<{ readonly address: string, readonly cores: number, readonly hash: string }>>()
  for (const [address, zone] of zones) {
    const daemon = { address, cores: isComplete ? cores.get(address)! : 0, hash: hashText(address) }
    const others = ranked.get(zone)
    if (others === undefined) ranked.set(zone, [daemon])
    else others.push(daemon)
  }
  return new Map([...ranked].map(([zone, daemons]) => [zone, daemons.sort((a, b) => b.cores - a.cores || (a.hash < b.hash ? -1 : 1)).map(({ address }) => address)]))
}

/** Sorts the data centres by the hash of their name: the first one is that of the primary root, if it reaches any root. */
export function rankZones (ranked: RankedDaemons): string[] {
  return [...ranked.keys()].sort((a, b) => hashText(a) < hashText(b) ? -1 : 1)
}

/**
 * Selects a daemon's role in the tree.
 *
 * @param searchDepth Number of daemons to try from the top of each ranking, see `computeSearchDepth`.
 * @example
 * selectTreeRole('10.0.0.7:80', 'a', ranked, 2, (id) => mesh.isConnected(id)).parent
 */
export function selectTreeRole (self: string, zone: string, ranked: RankedDaemons, searchDepth: number, isConnected: (daemon: string) => boolean): TreeRole {
  const zoneRanking = ranked.get(zone) ?? [self]
  const higherRanked = zoneRanking.slice(0, Math.max(0, zoneRanking.indexOf(self)))
  const reachable = higherRanked.filter(isConnected)
  const preferred = findPreferredParent(zoneRanking, self)
  const firstChild = zoneRanking[zoneRanking.indexOf(self) * computeFanOut(zoneRanking.length) + 1]
  const isRoot = reachable.length === 0
  const otherZones = isRoot ? [...ranked].filter(([name]) => name !== zone).map(([name, daemons]) => ({ name, daemons: daemons.slice(0, searchDepth) })) : []
  const earlierZones = otherZones.filter(({ name }) => hashText(name) < hashText(zone))
  return {
    neighbours: [...new Set([...higherRanked.slice(0, searchDepth), ...preferred === undefined ? [] : [preferred], ...otherZones.flatMap(({ daemons }) => daemons)])],
    parent: preferred !== undefined && isConnected(preferred) ? preferred : reachable[0],
    hasChildren: firstChild !== undefined,
    isDeputy: reachable.length === 1,
    otherRoots: otherZones.flatMap(({ daemons }) => daemons.find(isConnected) ?? []),
    isPrimaryRoot: isRoot && !earlierZones.some(({ daemons }) => daemons.some(isConnected))
  }
}

/** Finds the parent that a daemon has while all daemons are up; undefined for the first of the ranking. A daemon that doesn't reach it takes the first one that it reaches. */
function findPreferredParent (zoneRanking: readonly string[], self: string): string | undefined {
  const rank = zoneRanking.indexOf(self)
  return rank <= 0 ? undefined : zoneRanking[Math.floor((rank - 1) / computeFanOut(zoneRanking.length))]
}

/** Number of children of a daemon that has any. */
function computeFanOut (daemonCount: number): number {
  return Math.ceil(Math.sqrt(daemonCount))
}

/**
 * Computes how many daemons to try from the top of each ranking: as many as it takes to reach enough of them, or twice the
 * current depth while too few are reachable.
 *
 * @example
 * searchDepth = computeSearchDepth('10.0.0.7:80', 'a', ranked, searchDepth, (id) => mesh.isConnected(id))
 */
export function computeSearchDepth (self: string, zone: string, ranked: RankedDaemons, currentDepth: number, isConnected: (daemon: string) => boolean): number {
  const zoneRanking = ranked.get(zone) ?? [self]
  const higherRanked = zoneRanking.slice(0, Math.max(0, zoneRanking.indexOf(self)))
  const isRoot = !higherRanked.some(isConnected)
  const otherRankings = isRoot ? [...ranked].filter(([name]) => name !== zone).map(([, daemons]) => daemons) : []
  const requiredDepths = [findDepth(higherRanked, CANDIDATES_PER_ZONE, isConnected), ...otherRankings.map((daemons) => findDepth(daemons, 1, isConnected))]
  const maxDepth = Math.max(higherRanked.length, ...otherRankings.map((daemons) => daemons.length), CANDIDATES_PER_ZONE)
  return Math.min(maxDepth, Math.max(CANDIDATES_PER_ZONE, ...requiredDepths.map((count) => count ?? currentDepth * 2)))
}

/** Number of daemons to try from the top of a ranking to reach `count` of them, or all if there are fewer; undefined when too few are connected. */
function findDepth (daemons: readonly string[], count: number, isConnected: (daemon: string) => boolean): number | undefined {
  const reachableRanks = daemons.flatMap((daemon, index) => isConnected(daemon) ? [index + 1] : [])
  if (reachableRanks.length === daemons.length) return Math.min(count, daemons.length)
  return reachableRanks[count - 1]
}
