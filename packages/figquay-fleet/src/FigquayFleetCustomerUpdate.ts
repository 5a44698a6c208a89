/** What changes between the customers of two configurations, key by key: a customer may have thousands of them. */
import type { Customer } from './FigquayFleetTypes.js'

/** Customers by name; undefined where callers need no keys. */
export type Customers = ReadonlyMap<string, Customer> | undefined

/** Digests of one customer that are new, and those that are gone. */
export interface KeyChanges {
  readonly added: readonly string[]
  readonly removed: readonly string[]
}

/** A customer that is new or differs; its keys as changes to those that it had. */
export interface CustomerChange extends Omit<Customer, 'keyDigests'> {
  readonly keys: KeyChanges
}

/** Changes from one version's customers to those of another; serializable as JSON. */
export interface CustomersUpdate {
  /** Whether callers need keys in the newer version. */
  readonly areKeysNeeded: boolean
  /** Names of the customers that are not in the newer version. */
  readonly removed: readonly string[]
  readonly changed: readonly CustomerChange[]
}

const NO_CHANGES: KeyChanges = { added: [], removed: [] }

/**
 * Finds the digests that differ, whatever their order.
 *
 * @example
 * findKeyChanges(['a', 'b'], ['b', 'c']) // { added: ['c'], removed: ['a'] }
 */
export function findKeyChanges (earlier: readonly string[], later: readonly string[]): KeyChanges {
  if (earlier.length === later.length && earlier.every((digest, index) => digest === later[index])) return NO_CHANGES
  const earlierDigests = new Set(earlier)
  const laterDigests = new Set(later)
  return { added: later.filter((digest) => !earlierDigests.has(digest)), removed: earlier.filter((digest) => !laterDigests.has(digest)) }
}

function hasSameSettings (a: Omit<Customer, 'keyDigests'>, b: Omit<Customer, 'keyDigests'>): boolean {
  return a.name === b.name && a.priority === b.priority && a.quota?.unit === b.quota?.unit && a.quota?.ratePerSecond === b.quota?.ratePerSecond &&
    a.quota?.burst === b.quota?.burst && a.quota?.defaultTokens === b.quota?.defaultTokens
}

/** Returns the earlier customer if nothing differs; otherwise one that shares the texts of the digests that stay. */
function shareUnchangedKeys (earlier: Customer, later: Customer): Customer {
  if (earlier === later) return earlier
  const { added, removed } = findKeyChanges(earlier.keyDigests, later.keyDigests)
  if (added.length === 0 && removed.length === 0) return hasSameSettings(earlier, later) ? earlier : { ...later, keyDigests: earlier.keyDigests }
  const removedDigests = new Set(removed)
  return { ...later, keyDigests: [...earlier.keyDigests.filter((digest) => !removedDigests.has(digest)), ...added] }
}

/**
 * Returns customers that share what they have in common with earlier ones, so that the two can be compared by reference.
 *
 * @example
 * shareUnchangedCustomers(active.customers, decoded.customers)
 */
export function shareUnchangedCustomers (earlier: Customers, later: Customers): Customers {
  if (earlier === undefined || later === undefined) return later
  const customers = new Map<string, Customer>()
  for (const [name, customer] of later) {
    const earlierCustomer = earlier.get(name)
    customers.set(name, earlierCustomer === undefined ? customer : shareUnchangedKeys(earlierCustomer, customer))
  }
  const isSame = earlier.size === customers.size && [...customers].every(([name, customer]) => earlier.get(name) === customer)
  return isSame ? earlier : customers
}

/**
 * Computes the changes between the customers of two configurations that share their unchanged parts.
 *
 * @example
 * computeCustomersUpdate(previous.customers, active.customers).changed
 */
export function computeCustomersUpdate (base: Customers, target: Customers): CustomersUpdate {
  const areKeysNeeded = target !== undefined
  if (base === target) return { areKeysNeeded, removed: [], changed: [] }
  const changed = [...target?.values() ?? []].filter((customer) => base?.get(customer.name) !== customer)
  return {
    areKeysNeeded,
    removed: [...base?.keys() ?? []].filter((name) => target?.has(name) !== true),
    changed: changed.map(({ keyDigests, ...settings }) => ({ ...settings, keys: findKeyChanges(base?.get(settings.name)?.keyDigests ?? [], keyDigests) }))
  }
}

/**
 * Applies changes to the customers of a configuration.
 *
 * @example
 * const customers = applyCustomersUpdate(active.customers, update.customers)
 */
export function applyCustomersUpdate (base: Customers, { areKeysNeeded, removed, changed }: CustomersUpdate): Customers {
  if (!areKeysNeeded) return undefined
  if (base !== undefined && removed.length === 0 && changed.length === 0) return base
  const customers = new Map(base)
  for (const name of removed) customers.delete(name)
  for (const { keys, name, priority, quota } of changed) {
    const removedDigests = new Set(keys.removed)
    const keyDigests = [...(base?.get(name)?.keyDigests ?? []).filter((digest) => !removedDigests.has(digest)), ...keys.added]
    customers.set(name, { name, keyDigests, priority, quota })
  }
  return customers
}
