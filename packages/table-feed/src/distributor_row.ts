/**
 * Rows of the distributors: two slots a data centre, each with the proxy that
 * holds it and the proxies that subscribe to it. Together they tell which
 * proxies run.
 */
import type {TableRows} from '@kelpstep/platform';
import {z} from 'zod';

/** A proxy as it tells of itself. */
export const presentProxySchema = z.object({
  proxy: z.string(),
  dataCentre: z.string(),
  /** Data centres of one region are near each other; empty if not known. */
  region: z.string().default(''),
  /** Where others subscribe to its tables; empty if they can't. */
  address: z.string(),
  /** Where others send it statements; empty if they can't. */
  relayAddress: z.string(),
});
export type PresentProxy = z.infer<typeof presentProxySchema>;

/** What a distributor writes of itself. */
const distributorValueSchema = z.object({
  distributor: presentProxySchema,
  subscribers: z.array(presentProxySchema).readonly(),
  /** The most proxies that the row told of lately, this one included. */
  most: z.number().int().nonnegative().default(0),
});
export type DistributorValue = z.infer<typeof distributorValueSchema>;

/** A distributor's row. */
export interface DistributorRow extends DistributorValue {
  readonly dataCentre: string;
  readonly slot: number;
  readonly version: number;
}

/** With two, one may fail without its subscribers missing a change. */
export const SLOTS_PER_DATA_CENTRE = 2;

/** Key of a slot's row. */
export function keyOfSlot(dataCentre: string, slot: number): string {
  return `${dataCentre}/${slot}`;
}

/** The rows that can be read; others name no proxy that could be asked. */
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

/** All proxies that the rows tell of, each once, by name. */
export function listPresentProxies(
  rows: readonly DistributorRow[],
): Map<string, PresentProxy> {
  const present = new Map<string, PresentProxy>();
  for (const {distributor, subscribers} of rows) {
    for (const proxy of [distributor, ...subscribers]) {
      present.set(proxy.proxy, proxy);
    }
  }
  return present;
}

/**
 * How many proxies there are, with those that were lost lately: a data centre that is
 * cut off may go on with all that it had.
 */
export function countLatelyPresent(rows: readonly DistributorRow[]): number {
  const most = new Map<string, number>();
  for (const row of rows) {
    const count = Math.max(row.most, row.subscribers.length + 1);
    most.set(row.dataCentre, Math.max(count, most.get(row.dataCentre) ?? 0));
  }
  return [...most.values()].reduce((sum, count) => sum + count, 0);
}

/** True if two entries tell the same of a proxy. */
export function isSameProxy(
  left: PresentProxy,
  right: PresentProxy | undefined,
): boolean {
  return (
    left.proxy === right?.proxy &&
    left.address === right.address &&
    left.relayAddress === right.relayAddress &&
    left.dataCentre === right.dataCentre &&
    left.region === right.region
  );
}

/** True if two lists hold the same proxies in the same order. */
export function areSameProxies(
  left: readonly PresentProxy[],
  right: readonly PresentProxy[],
): boolean {
  return (
    left.length === right.length &&
    left.every((proxy, index) => isSameProxy(proxy, right[index]))
  );
}
