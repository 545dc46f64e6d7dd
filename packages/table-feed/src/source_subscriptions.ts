/**
 * Maintains subscriptions to the proxies that the table copies are updated
 * from.
 */
import type {Address, Transport} from '@kelpstep/rpc';
import type {Milliseconds, Runtime} from '@kelpstep/runtime';

import {FRESHNESS_THRESHOLD_RATIO} from './choose_sources';
import type {DistributorRow, ProxyDescriptor} from './distributor_row';
import {createConfirmations, stalenessOf} from './freshness';
import {type Subscription, startSubscription} from './subscription';
import type {TableCopy} from './table_copy';

export interface SourceSubscriptionsOptions {
  readonly runtime: Runtime;
  readonly transport: Transport;
  readonly self: ProxyDescriptor;
  readonly copies: readonly TableCopy[];
  /** Fallback sources while no other distributor is known. */
  readonly seeds: readonly Address[];
  rows(): readonly DistributorRow[];
  /** Proxies that are known to be running. */
  proxies(): readonly ProxyDescriptor[];
  onSubscription(address: Address, isSubscribed: boolean, reason: string): void;
}

/**
 * Subscriptions to the local distributors and, if needed, to one fallback
 * source.
 */
export interface SourceSubscriptions {
  /** Opens the subscriptions that are needed now and ends all others. */
  update(needsFallback: boolean): void;
  /**
   * Time since a table was known to be up to date from any current or former
   * source; `Infinity` if it never was.
   */
  age(table: string): Milliseconds;
  /** Lowest staleness among the distributors of this data centre. */
  localStaleness(): number;
  /**
   * Time since a source last was fresh; 0 for an address without a
   * subscription.
   */
  timeSinceFresh(address: Address): Milliseconds;
  close(): void;
}

interface Source {
  readonly subscription: Subscription;
  freshAt: Milliseconds;
}

/** Time that a fallback source has to become fresh before another is tried. */
const FALLBACK_TRIAL_MS: Milliseconds = 1200;

/** Creates the source subscriptions; the first `update` opens them. */
export function createSourceSubscriptions(
  options: SourceSubscriptionsOptions,
): SourceSubscriptions {
  const {runtime, self, copies} = options;
  const {timer, random} = runtime;
  const sources = new Map<Address, Source>();
  const confirmations = createConfirmations(timer);
  let fallback: Address | undefined;

  function distributorsWhere(isWanted: (row: DistributorRow) => boolean) {
    return options
      .rows()
      .filter(isWanted)
      .map(({distributor}) => distributor.address)
      .filter(isOtherProxy);
  }

  function isOtherProxy(address: Address): boolean {
    return address !== '' && address !== self.address;
  }

  function localDistributors(): Address[] {
    return distributorsWhere(row => row.dataCentre === self.dataCentre);
  }

  /**
   * Prefers distributors of this region, then any distributor, then any proxy.
   */
  function pickFallback(): Address | undefined {
    const anyProxy = options.proxies().map(({address}) => address);
    const choices = [
      distributorsWhere(({distributor}) => distributor.region === self.region),
      distributorsWhere(() => true),
      [...options.seeds, ...anyProxy].filter(isOtherProxy),
    ];
    for (const addresses of choices) {
      const untried = addresses.filter(address => !sources.has(address));
      if (untried.length > 0) {
        return random.pick(untried);
      }
    }
    return undefined;
  }

  function updateFallback(needsFallback: boolean): void {
    if (!needsFallback) {
      fallback = undefined;
      return;
    }
    const isStale =
      fallback === undefined || timeSinceFresh(fallback) > FALLBACK_TRIAL_MS;
    fallback = isStale ? (pickFallback() ?? fallback) : fallback;
  }

  function subscribe(address: Address): Source {
    const subscription = startSubscription({
      runtime,
      transport: options.transport,
      self,
      address,
      copies,
      onSubscriptionChange: (isSubscribed, reason) =>
        options.onSubscription(address, isSubscribed, reason),
    });
    return {subscription, freshAt: timer.now()};
  }

  function recordConfirmation({subscription}: Source, table: string): void {
    confirmations.confirm(table, timer.now() - subscription.age(table));
  }

  /**
   * Keeps the confirmation times of the source before its subscription ends.
   */
  function unsubscribe(source: Source): void {
    copies.forEach(({table}) => recordConfirmation(source, table));
    source.subscription.end();
  }

  function stalenessOfSource({subscription}: Source): number {
    return stalenessOf(copies, subscription.age);
  }

  function update(needsFallback: boolean): void {
    updateFallback(needsFallback);
    const wanted = new Set(
      fallback === undefined
        ? localDistributors()
        : [...localDistributors(), fallback],
    );
    for (const [address, source] of [...sources]) {
      if (!wanted.has(address)) {
        sources.delete(address);
        unsubscribe(source);
      }
    }
    for (const address of wanted) {
      const source = sources.get(address) ?? subscribe(address);
      sources.set(address, source);
      if (stalenessOfSource(source) <= FRESHNESS_THRESHOLD_RATIO) {
        source.freshAt = timer.now();
      }
    }
  }

  function timeSinceFresh(address: Address): Milliseconds {
    const source = sources.get(address);
    return source === undefined ? 0 : timer.now() - source.freshAt;
  }

  function age(table: string): Milliseconds {
    sources.forEach(source => recordConfirmation(source, table));
    return confirmations.age(table);
  }

  function localStaleness(): number {
    const known = localDistributors().flatMap(
      address => sources.get(address) ?? [],
    );
    return Math.min(...known.map(stalenessOfSource));
  }

  return {
    update,
    age,
    localStaleness,
    timeSinceFresh,
    close() {
      sources.forEach(({subscription}) => subscription.end());
      sources.clear();
    },
  };
}
