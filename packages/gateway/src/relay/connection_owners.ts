/**
 * Selects the connection owners of a group: the proxies that keep connections
 * to its targets. These are all proxies if the targets accept enough
 * connections; otherwise as many as the targets accept, spread over the data
 * centres. Every proxy selects the same ones.
 */
import {
  type CandidateSet,
  createCandidateSet,
  pickResponsible,
} from '@kelpstep/membership';
import type {PresentProxy} from '@kelpstep/table-feed';
import {type GroupSettings, mostHolders} from '@kelpstep/targets';

/** Inputs of the selection. */
export interface HoldersOptions {
  readonly self: PresentProxy;
  /** Running proxies; a new array after each change. */
  live(): readonly PresentProxy[] | undefined;
  /**
   * Relay addresses that have been unreachable for some time; a new set after
   * each change. Other proxies replace these as connection owners long before
   * their rows expire.
   */
  lost(): ReadonlySet<string>;
}

/** The connection owners of each group. */
export interface Holders {
  /** True if this proxy is one; false while the others are unknown. */
  holds(settings: GroupSettings): boolean;
  /** Number of connection owners; `Infinity` while unknown. */
  count(settings: GroupSettings): number;
  /** True once the running proxies are known. */
  areKnown(): boolean;
  /** True if a running proxy has this relay address, or none is known yet. */
  isListed(relayAddress: string): boolean;
  /** Connection owners to relay statements to, without this proxy. */
  others(settings: GroupSettings): readonly PresentProxy[];
}

interface Choice {
  readonly count: number;
  readonly isHolder: boolean;
  readonly others: readonly PresentProxy[];
}

/** Creates the selection, which is cached for each list of proxies. */
export function createHolders(options: HoldersOptions): Holders {
  const {self} = options;
  let chosenFrom: readonly PresentProxy[] | undefined;
  let chosenWithout: ReadonlySet<string> | undefined;
  let reached: readonly PresentProxy[] = [];
  let candidates: CandidateSet<PresentProxy> | undefined;
  const chosen = new Map<string, Choice>();

  function choose(group: string, most: number): Choice {
    let holders = reached;
    if (reached.length > most) {
      candidates ??= createCandidateSet(reached);
      holders = pickResponsible(group, candidates, most);
    }
    const others = holders.filter(({proxy}) => proxy !== self.proxy);
    return {
      count: holders.length,
      isHolder: others.length < holders.length,
      others: others.filter(({relayAddress}) => relayAddress !== ''),
    };
  }

  function choiceFor({
    group,
    connectionLimit,
  }: GroupSettings): Choice | undefined {
    const live = options.live();
    const lost = options.lost();
    if (live === undefined) {
      return undefined;
    }
    if (live !== chosenFrom || lost !== chosenWithout) {
      chosenFrom = live;
      chosenWithout = lost;
      reached = live.filter(({relayAddress}) => !lost.has(relayAddress));
      candidates = undefined;
      chosen.clear();
    }
    const most = mostHolders(connectionLimit);
    const key = `${group} ${most}`;
    const known = chosen.get(key) ?? choose(group, most);
    chosen.set(key, known);
    return known;
  }

  return {
    holds: settings => choiceFor(settings)?.isHolder ?? false,
    areKnown: () => options.live() !== undefined,
    isListed: address =>
      options.live()?.some(({relayAddress}) => relayAddress === address) ??
      true,
    count: settings => choiceFor(settings)?.count ?? Infinity,
    others: settings => choiceFor(settings)?.others ?? [],
  };
}
