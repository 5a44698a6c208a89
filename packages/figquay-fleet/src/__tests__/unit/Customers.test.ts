/** Customers over versions of the configuration: a key must find the customer that holds it now, whichever way the version came. */
import { describe, it } from 'node:test'
import { expect } from 'earl'
import fc from 'fast-check'
import { hashText } from 'figquay'
import { applyConfigurationUpdate, computeConfigurationUpdate, ConfigurationHolder, type ConfigurationUpdate, type Customer, type FleetConfiguration } from '../../index.js'

const NAMES = ['desk', 'atlas', 'pilot']
const KEYS = Array.from({ length: 8 }, (_, index) => hashText(`key-${index}`))
const LIMITS = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 }

function makeCustomer (name: string, keyDigests: readonly string[], changes: Partial<Customer> = {}): Customer {
  return { name, keyDigests, priority: undefined, quota: undefined, ...changes }
}

function makeConfiguration (version: number, customers: readonly Customer[] | undefined): FleetConfiguration {
  return { version, routes: [], services: new Map(), customers: customers === undefined ? undefined : new Map(customers.map((customer) => [customer.name, customer])), limits: LIMITS }
}

/** Passes an update on as a message between daemons. */
function transmit (update: ConfigurationUpdate): ConfigurationUpdate {
  return JSON.parse(JSON.stringify(update)) as ConfigurationUpdate
}

/** Each key belongs to one customer or none. */
const customersArbitrary = fc.option(fc.record({
  holders: fc.array(fc.integer({ min: -1, max: NAMES.length - 1 }), { minLength: KEYS.length, maxLength: KEYS.length }),
  listed: fc.subarray(NAMES),
  priority: fc.option(fc.integer({ min: 0, max: 2 }), { nil: undefined }),
  rate: fc.integer({ min: 0, max: 2 })
}).map(({ holders, listed, priority, rate }) => listed.map((name) => makeCustomer(name, KEYS.filter((_, key) => NAMES[holders[key]!] === name), {
  priority, quota: rate === 0 ? undefined : { unit: 'tokens', ratePerSecond: rate, burst: 1, defaultTokens: 1 }
}))), { nil: undefined })

function findHolders (holder: ConfigurationHolder): Array<string | undefined> {
  return KEYS.map((key) => holder.findCustomer(key)?.name)
}

function listCustomers (holder: ConfigurationHolder): unknown {
  const customers = holder.current!.customers
  return customers === undefined ? undefined : [...customers.values()].map((customer) => ({ ...customer, keyDigests: [...customer.keyDigests].sort() })).sort((a, b) => a.name < b.name ? -1 : 1)
}

describe('customers of a configuration', () => {
  it('are found by the keys that they hold now, at daemons that read each version and at daemons that get the changes', () => {
    fc.assert(fc.property(fc.array(customersArbitrary, { minLength: 1, maxLength: 5 }), (versions) => {
      const reader = ConfigurationHolder.create()
      const receiver = ConfigurationHolder.create()
      for (const [version, customers] of versions.entries()) {
        const base = reader.findVersion(version - 1)
        reader.adoptConfiguration(makeConfiguration(version, customers))
        receiver.adoptConfiguration(applyConfigurationUpdate(receiver.current, transmit(computeConfigurationUpdate(base, reader.current!)))!)
        const holders = KEYS.map((key) => customers?.find(({ keyDigests }) => keyDigests.includes(key))?.name)
        expect([findHolders(reader), findHolders(receiver)]).toEqual([holders, holders])
        expect(listCustomers(receiver)).toEqual(listCustomers(reader))
      }
    }))
  })

  it('that are unchanged are shared with the version before, whatever the order of their keys', () => {
    const holder = ConfigurationHolder.create()
    holder.adoptConfiguration(makeConfiguration(1, [makeCustomer('desk', KEYS.slice(0, 3)), makeCustomer('atlas', KEYS.slice(3, 5))]))
    const { customers } = holder.current!
    holder.adoptConfiguration(makeConfiguration(2, [makeCustomer('desk', KEYS.slice(0, 3).reverse()), makeCustomer('atlas', KEYS.slice(3, 5))]))
    expect(holder.current!.customers === customers).toEqual(true)
    holder.adoptConfiguration(makeConfiguration(3, [makeCustomer('desk', KEYS.slice(0, 3), { priority: 2 }), makeCustomer('atlas', KEYS.slice(3, 5))]))
    expect([holder.current!.customers!.get('atlas') === customers!.get('atlas'), holder.findCustomer(KEYS[0]!)?.priority]).toEqual([true, 2])
  })

  it('cost a message between daemons only what differs, and a lookup microseconds, with 20,000 keys', () => {
    const keys = Array.from({ length: 20_000 }, (_, index) => hashText(`key-${index}`))
    const holder = ConfigurationHolder.create()
    holder.adoptConfiguration(makeConfiguration(1, [makeCustomer('desk', keys), makeCustomer('atlas', [])]))
    holder.adoptConfiguration(makeConfiguration(2, [makeCustomer('desk', keys.slice(1)), makeCustomer('atlas', [])]))
    const update = computeConfigurationUpdate(holder.findVersion(1), holder.current!)
    expect([update.customers, JSON.stringify(update).length < 500]).toEqual([{ areKeysNeeded: true, removed: [], changed: [{ name: 'desk', priority: undefined, quota: undefined, keys: { added: [], removed: [keys[0]!] } }] }, true])
    expect([holder.findCustomer(keys[0]!), holder.findCustomer(keys[1]!)?.name]).toEqual([undefined, 'desk'])
    const startedAtMs = performance.now()
    for (const key of keys) holder.findCustomer(key)
    expect((performance.now() - startedAtMs) / keys.length < 0.05).toEqual(true)
  })

  it('are not lost through a daemon of a release that knows none', () => {
    const { customers, ...update } = computeConfigurationUpdate(undefined, makeConfiguration(2, [makeCustomer('desk', KEYS)]))
    expect([customers !== undefined, applyConfigurationUpdate(undefined, update)]).toEqual([true, undefined])
    const base = makeConfiguration(1, [])
    expect(applyConfigurationUpdate(base, { ...update, baseVersion: 1 })).toEqual(undefined)
  })
})
