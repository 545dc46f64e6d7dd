/**
 * Rows of the distributor table: two slots per data centre, each with the proxy
 * that holds it and its subscribers. Together the rows list the running
 * proxies.
 */
import type {TableRows} from '@kelpstep/platform';
import {z} from 'zod';

/** Name, location and addresses of a proxy, as stated by itself. */
export const proxyDescriptorSchema = z.object({
  proxy: z.string(),
  dataCentre: z.string(),
  /** Region of nearby data centres; empty if unknown. */
  region: z.string().default(''),
  /** Address for table subscriptions; empty if the proxy accepts none. */
  address: z.string(),
  /** Address for relayed statements; empty if the proxy accepts none. */
  relayAddress: z.string(),
  /**
   * Capacity in cores, as in the setting. Older proxies don't state it, and
   * older distributors leave it out of their subscribers' descriptors. An
   * invalid one counts as left out, so that the descriptor stays usable.
   */
  capacity: z.number().positive().optional().catch(undefined),
});
export type ProxyDescriptor = z.infer<typeof proxyDescriptorSchema>;

/** Capacity of a proxy that states none, in cores. */
const DEFAULT_CAPACITY = 1;

/** Capacity of a proxy, in cores. */
export function capacityOf({capacity}: ProxyDescriptor): number {
  return capacity ?? DEFAULT_CAPACITY;
}

/** Value of a row, written by the distributor. */
const distributorValueSchema = z.object({
  distributor: proxyDescriptorSchema,
  subscribers: z.array(proxyDescriptorSchema).readonly(),
  /**
   * Recent maximum of the proxies that the row lists, including the
   * distributor.
   */
  most: z.number().int().nonnegative().default(0),
});
export type DistributorValue = z.infer<typeof distributorValueSchema>;

/** A distributor's row with its slot and version. */
export interface DistributorRow extends DistributorValue {
  readonly dataCentre: string;
  readonly slot: number;
  readonly version: number;
}

/**
 * Number of distributors per data centre. With two, one may fail without
 * delaying changes for the subscribers.
 */
export const SLOTS_PER_DATA_CENTRE = 2;

/** Key of a slot's row, for example `centre-1/0`. */
export function slotKey(dataCentre: string, slot: number): string {
  return `${dataCentre}/${slot}`;
}

/** Parses the rows; skips malformed ones, which name no usable proxy. */
export function readDistributorRows(rows: TableRows): DistributorRow[] {
  return [...rows.values()].flatMap(({key, value, version}) => {
    const parsed = distributorValueSchema.safeParse(value);
    const separator = key.lastIndexOf('/');
    const slot = Number(key.slice(separator + 1));
    return parsed.success && separator > 0 && Number.isInteger(slot)
      ? [{...parsed.data, dataCentre: key.slice(0, separator), slot, version}]
      : [];
  });
}

/**
 * All distributors and subscribers of the rows, by proxy name. Of a proxy that
 * several rows list, a descriptor with the capacity counts: one without it was
 * written by an older distributor.
 */
export function listProxiesByName(
  rows: readonly DistributorRow[],
): Map<string, ProxyDescriptor> {
  const proxiesByName = new Map<string, ProxyDescriptor>();
  for (const {distributor, subscribers} of rows) {
    for (const proxy of [distributor, ...subscribers]) {
      const known = proxiesByName.get(proxy.proxy);
      const {capacity = known?.capacity} = proxy;
      const isComplete = proxy.capacity === capacity;
      proxiesByName.set(proxy.proxy, isComplete ? proxy : {...proxy, capacity});
    }
  }
  return proxiesByName;
}

/**
 * Number of running and recently lost proxies. A partitioned data centre may
 * still run all the proxies that it had.
 */
export function countRecentProxies(rows: readonly DistributorRow[]): number {
  const maximumByDataCentre = new Map<string, number>();
  for (const row of rows) {
    const count = Math.max(row.most, row.subscribers.length + 1);
    maximumByDataCentre.set(
      row.dataCentre,
      Math.max(count, maximumByDataCentre.get(row.dataCentre) ?? 0),
    );
  }
  return [...maximumByDataCentre.values()].reduce(
    (sum, count) => sum + count,
    0,
  );
}

/** True if all fields of two descriptors are equal, not only the names. */
export function isSameProxy(
  left: ProxyDescriptor,
  right: ProxyDescriptor | undefined,
): boolean {
  return (
    left.proxy === right?.proxy &&
    left.address === right.address &&
    left.relayAddress === right.relayAddress &&
    left.dataCentre === right.dataCentre &&
    left.region === right.region &&
    capacityOf(left) === capacityOf(right)
  );
}

/** True if two lists hold equal descriptors in the same order. */
export function areSameProxies(
  left: readonly ProxyDescriptor[],
  right: readonly ProxyDescriptor[],
): boolean {
  return (
    left.length === right.length &&
    left.every((proxy, index) => isSameProxy(proxy, right[index]))
  );
}
