/** Keeps the subscriptions to the proxies that the tables are taken from. */
import type {Address, Transport} from '@kelpstep/rpc';
import type {Milliseconds, Runtime} from '@kelpstep/runtime';

import {FRESH_UP_TO} from './choose_sources';
import type {DistributorRow, PresentProxy} from './distributor_row';
import {createConfirmations, stalenessOf} from './freshness';
import {type Subscription, startSubscription} from './subscription';
import type {TableCopy} from './table_copy';

/** What a source keeper is made of. */
export interface SourceKeeperOptions {
  readonly runtime: Runtime;
  readonly transport: Transport;
  readonly self: PresentProxy;
  readonly copies: readonly TableCopy[];
  /** Proxies to ask while no distributor elsewhere is known. */
  readonly seeds: readonly Address[];
  rows(): readonly DistributorRow[];
  /** Proxies that are known to run. */
  proxies(): readonly PresentProxy[];
  onSubscription(address: Address, isSubscribed: boolean, reason: string): void;
}

/** The other proxies that the tables are taken from. */
export interface SourceKeeper {
  /** Subscribes to whom it should be by now, and ends the other subscriptions. */
  update(needsDistant: boolean): void;
  /**
   * Time since a table was complete by the news of any source, also past ones;
   * `Infinity` without any.
   */
  age(table: string): Milliseconds;
  /** Staleness of the least stale distributor of the own data centre. */
  homeStaleness(): number;
  /** How long a source hasn't given fresh news; 0 for one that isn't asked. */
  silence(address: Address): Milliseconds;
  close(): void;
}

interface Source {
  readonly subscription: Subscription;
  freshAt: Milliseconds;
}

/** A distant source gets so long to give fresh news before another is tried. */
const DISTANT_TRIAL: Milliseconds = 1200;

/** Creates a keeper without subscriptions. */
export function createSourceKeeper(options: SourceKeeperOptions): SourceKeeper {
  const {runtime, self, copies} = options;
  const {timer, random} = runtime;
  const sources = new Map<Address, Source>();
  const newest = createConfirmations(timer);
  let distant: Address | undefined;

  function distributorsWhere(isWanted: (row: DistributorRow) => boolean) {
    return options
      .rows()
      .filter(isWanted)
      .map(({distributor}) => distributor.address)
      .filter(isOther);
  }

  function isOther(address: Address): boolean {
    return address !== '' && address !== self.address;
  }

  function homes(): Address[] {
    return distributorsWhere(row => row.dataCentre === self.dataCentre);
  }

  /** Distributors of the region, then all, then any proxy that may know more. */
  function pickDistant(): Address | undefined {
    const anyProxy = options.proxies().map(({address}) => address);
    const choices = [
      distributorsWhere(({distributor}) => distributor.region === self.region),
      distributorsWhere(() => true),
      [...options.seeds, ...anyProxy].filter(isOther),
    ];
    for (const addresses of choices) {
      const untried = addresses.filter(address => !sources.has(address));
      if (untried.length > 0) {
        return random.pick(untried);
      }
    }
    return undefined;
  }

  function updateDistant(needsDistant: boolean): void {
    if (!needsDistant) {
      distant = undefined;
      return;
    }
    const isStale = distant === undefined || silence(distant) > DISTANT_TRIAL;
    distant = isStale ? (pickDistant() ?? distant) : distant;
  }

  function subscribe(address: Address): Source {
    const subscription = startSubscription({
      runtime,
      transport: options.transport,
      self,
      address,
      copies,
      onSubscribed: (isSubscribed, reason) =>
        options.onSubscription(address, isSubscribed, reason),
    });
    return {subscription, freshAt: timer.now()};
  }

  function noteNews({subscription}: Source, table: string): void {
    newest.confirm(table, timer.now() - subscription.age(table));
  }

  /** What it told counts also when it is asked no more. */
  function end(source: Source): void {
    copies.forEach(({table}) => noteNews(source, table));
    source.subscription.end();
  }

  function stalenessAt({subscription}: Source): number {
    return stalenessOf(copies, subscription.age);
  }

  function update(needsDistant: boolean): void {
    updateDistant(needsDistant);
    const wanted = new Set(
      distant === undefined ? homes() : [...homes(), distant],
    );
    for (const [address, source] of [...sources]) {
      if (!wanted.has(address)) {
        sources.delete(address);
        end(source);
      }
    }
    for (const address of wanted) {
      const source = sources.get(address) ?? subscribe(address);
      sources.set(address, source);
      if (stalenessAt(source) <= FRESH_UP_TO) {
        source.freshAt = timer.now();
      }
    }
  }

  function silence(address: Address): Milliseconds {
    const source = sources.get(address);
    return source === undefined ? 0 : timer.now() - source.freshAt;
  }

  function age(table: string): Milliseconds {
    sources.forEach(source => noteNews(source, table));
    return newest.age(table);
  }

  function homeStaleness(): number {
    const known = homes().flatMap(address => sources.get(address) ?? []);
    return Math.min(...known.map(stalenessAt));
  }

  return {
    update,
    age,
    homeStaleness,
    silence,
    close() {
      sources.forEach(({subscription}) => subscription.end());
      sources.clear();
    },
  };
}
