/** Tree of a large fleet, while any of its daemons may be down. */
import { describe, it } from 'node:test'
import { expect } from 'earl'
import { computeSearchDepth, rankDaemons, selectTreeRole } from '../../index.js'

const ZONES = new Map(Array.from({ length: 66 }, (_, index): [string, string] => [`10.0.0.${index}:80`, 'abc'[index % 3]!]))
const RANKED = rankDaemons(ZONES)

/** Follows the parents up to the root. */
function findRoot (self: string, isUp: (daemon: string) => boolean): string {
  const zone = ZONES.get(self)!
  let searchDepth = 2
  for (let round = 0; round < 8; round += 1) searchDepth = computeSearchDepth(self, zone, RANKED, searchDepth, isUp)
  const { parent } = selectTreeRole(self, zone, RANKED, searchDepth, isUp)
  return parent === undefined ? self : findRoot(parent, isUp)
}

describe('tree of a large fleet', () => {
  it('has one root in each data centre, one primary root and few neighbours', () => {
    const roles = [...ZONES].map(([self, zone]) => selectTreeRole(self, zone, RANKED, 2, () => true))
    expect(roles.filter((role) => role.parent === undefined).length).toEqual(3)
    expect(roles.filter((role) => role.isPrimaryRoot).length).toEqual(1)
    expect(Math.max(...roles.map((role) => role.neighbours.length))).toEqual(4)
    expect(roles.filter((role) => role.parent === undefined).map((role) => role.otherRoots.length)).toEqual([2, 2, 2])
  })

  it('gives no daemon more children than the square root of its data centre\'s size, on two levels at most', () => {
    for (const size of [2, 9, 28, 85, 330]) {
      const ranked = rankDaemons(new Map(Array.from({ length: size }, (_, index): [string, string] => [`10.0.1.${index}:80`, 'a'])))
      const roles = new Map(ranked.get('a')!.map((daemon) => [daemon, selectTreeRole(daemon, 'a', ranked, 2, () => true)]))
      const findLevel = (daemon: string): number => roles.get(daemon)!.parent === undefined ? 0 : 1 + findLevel(roles.get(daemon)!.parent!)
      const countChildren = (daemon: string): number => [...roles.values()].filter(({ parent }) => parent === daemon).length
      expect(Math.max(...[...roles.keys()].map(countChildren)) <= Math.ceil(Math.sqrt(size))).toEqual(true)
      expect(Math.max(...[...roles.keys()].map(findLevel)) <= 2).toEqual(true)
      expect([...roles].filter(([daemon, { hasChildren }]) => hasChildren !== (countChildren(daemon) > 0))).toEqual([])
    }
  })

  // Daemons of the release before rank by the hash alone: two rankings would make two trees.
  it('is that of the hashes as long as the processor of one daemon is unknown, and that of the processors from then on', () => {
    const cores = new Map([...ZONES.keys()].map((daemon, index): [string, number] => [daemon, index % 2 === 0 ? 1.35 : 0.243]))
    const [first] = [...ZONES.keys()]
    expect(rankDaemons(ZONES, new Map([...cores].filter(([daemon]) => daemon !== first)))).toEqual(RANKED)
    expect([...rankDaemons(ZONES, cores).values()].map((daemons) => cores.get(daemons[0]!))).toEqual([1.35, 1.35, 1.35])
  })

  it('has the highest-ranked reachable daemon as root, whichever daemons are lost', () => {
    for (let seed = 0; seed < 40; seed += 1) {
      const lost = new Set([...ZONES.keys()].filter((_, index) => (index * 7_919 + seed * 104_729) % 11 < 1 + seed % 9))
      const isUp = (daemon: string): boolean => !lost.has(daemon)
      for (const zone of RANKED.keys()) {
        const reachable = RANKED.get(zone)!.filter(isUp)
        expect([...new Set(reachable.map((daemon) => findRoot(daemon, isUp)))]).toEqual(reachable.slice(0, 1))
      }
    }
  })

  it('has a primary root in each data centre when they are partitioned from each other', () => {
    const roots = [...RANKED].map(([zone, daemons]) => ({ zone, self: daemons[0]! }))
    const roles = roots.map(({ zone, self }) => selectTreeRole(self, zone, RANKED, 2, (daemon) => ZONES.get(daemon) === zone))
    expect(roles.filter((role) => role.isPrimaryRoot).length).toEqual(3)
  })

  it('doubles the search depth while no daemon is reachable and reduces it once enough are', () => {
    const self = RANKED.get('a')!.at(-1)!
    expect(computeSearchDepth(self, 'a', RANKED, 2, () => false)).toEqual(4)
    expect(computeSearchDepth(self, 'a', RANKED, 16, () => true)).toEqual(2)
  })
})
