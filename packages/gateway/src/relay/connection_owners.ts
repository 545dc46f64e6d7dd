/**
 * Selects the connection owners of a group: the proxies that keep connections
 * to its targets. These are all proxies if the targets accept enough
 * connections; otherwise as many as the targets accept, spread over the data
 * centres and in proportion to capacity within one. Where the configuration has
 * client accounts, they are at most as many as there are data centres, but at
 * least three. Every proxy selects the same ones.
 *
 * Load: instances of uneven capacity, and more accounts than an owner has
 * connections.
 */
import {
  type CandidateSet,
  createCandidateSet,
  pickResponsible,
} from '@kelpstep/membership';
import {type ProxyDescriptor, capacityOf} from '@kelpstep/table-feed';
import {
  type GroupSettings,
  maximumOwnerCount,
  maximumOwnerCountWithAccounts,
} from '@kelpstep/targets';

export interface ConnectionOwnersOptions {
  readonly self: ProxyDescriptor;
  /**
   * Running proxies, as a new array after each change; undefined while unknown.
   */
  live(): readonly ProxyDescriptor[] | undefined;
  /**
   * Relay addresses that have been unreachable for some time; a new set after
   * each change. Other proxies replace these as connection owners long before
   * their rows expire.
   */
  lost(): ReadonlySet<string>;
  /** True if the configuration in force has client accounts. */
  hasAccounts(): boolean;
}

/** Tells which proxies are the connection owners of a group. */
export interface ConnectionOwners {
  /**
   * True if this proxy is a connection owner of the group; false while the
   * running proxies are unknown.
   */
  ownsConnections(settings: GroupSettings): boolean;
  /** Number of the group's connection owners; `Infinity` while unknown. */
  count(settings: GroupSettings): number;
  /** True once the running proxies are known. */
  areKnown(): boolean;
  /** True if a running proxy has the relay address, or while none is known. */
  isLive(relayAddress: string): boolean;
  /**
   * The group's connection owners to relay statements to, without this proxy.
   */
  otherOwners(settings: GroupSettings): readonly ProxyDescriptor[];
}

interface OwnerSelection {
  readonly count: number;
  readonly isOwner: boolean;
  readonly otherOwners: readonly ProxyDescriptor[];
}

/**
 * Creates the selection. Its results are cached until the running proxies or
 * the unreachable ones change.
 */
export function createConnectionOwners(
  options: ConnectionOwnersOptions,
): ConnectionOwners {
  const {self} = options;
  let selectedFrom: readonly ProxyDescriptor[] | undefined;
  let selectedWithout: ReadonlySet<string> | undefined;
  let dataCentreCount = 0;
  let reachable: readonly ProxyDescriptor[] = [];
  let candidates: CandidateSet<ProxyDescriptor> | undefined;
  const selections = new Map<string, OwnerSelection>();

  function selectOwners(group: string, maximum: number): OwnerSelection {
    let owners = reachable;
    if (reachable.length > maximum) {
      candidates ??= createCandidateSet(reachable, capacityOf);
      owners = pickResponsible(group, candidates, maximum);
    }
    const others = owners.filter(({proxy}) => proxy !== self.proxy);
    return {
      count: owners.length,
      isOwner: others.length < owners.length,
      otherOwners: others.filter(({relayAddress}) => relayAddress !== ''),
    };
  }

  /**
   * Data centres are counted over all running proxies, reachable or not: a lost
   * owner is replaced, and proxies with the same rows agree on the number.
   */
  function maximumFor(connectionLimit: number): number {
    return options.hasAccounts()
      ? maximumOwnerCountWithAccounts(connectionLimit, dataCentreCount)
      : maximumOwnerCount(connectionLimit);
  }

  function selectionFor({
    group,
    connectionLimit,
  }: GroupSettings): OwnerSelection | undefined {
    const live = options.live();
    const lost = options.lost();
    if (live === undefined) {
      return undefined;
    }
    if (live !== selectedFrom || lost !== selectedWithout) {
      selectedFrom = live;
      selectedWithout = lost;
      reachable = live.filter(({relayAddress}) => !lost.has(relayAddress));
      dataCentreCount = new Set(live.map(({dataCentre}) => dataCentre)).size;
      candidates = undefined;
      selections.clear();
    }
    const maximum = maximumFor(connectionLimit);
    const key = `${group} ${maximum}`;
    const selection = selections.get(key) ?? selectOwners(group, maximum);
    selections.set(key, selection);
    return selection;
  }

  return {
    ownsConnections: settings => selectionFor(settings)?.isOwner ?? false,
    areKnown: () => options.live() !== undefined,
    isLive: address =>
      options.live()?.some(({relayAddress}) => relayAddress === address) ??
      true,
    count: settings => selectionFor(settings)?.count ?? Infinity,
    otherOwners: settings => selectionFor(settings)?.otherOwners ?? [],
  };
}
