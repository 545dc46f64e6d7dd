/**
 * Which proxies hold connections to a group's targets. All do where the targets
 * take enough connections; otherwise as many as they take, spread over the data
 * centres, the same ones in every proxy's view.
 */
import {
  type CandidateSet,
  createCandidateSet,
  pickResponsible,
} from '@kelpstep/membership';
import type {PresentProxy} from '@kelpstep/table-feed';
import {type GroupSettings, mostHolders} from '@kelpstep/targets';

/** What holders are chosen from. */
export interface HoldersOptions {
  readonly self: PresentProxy;
  /** Proxies that run; another array after each change. */
  live(): readonly PresentProxy[] | undefined;
  /**
   * Relay addresses that this proxy hasn't reached for some time; another set after
   * each change. Others hold connections in their place long before their rows
   * expire.
   */
  lost(): ReadonlySet<string>;
}

/** The holders of each group. */
export interface Holders {
  /** True if this proxy is one; false while the others aren't known. */
  holds(settings: GroupSettings): boolean;
  /** How many there are; `Infinity` while that isn't known. */
  count(settings: GroupSettings): number;
  /** True once the proxies that run are known. */
  areKnown(): boolean;
  /** True if a proxy with this relay address is among those that run. */
  isListed(relayAddress: string): boolean;
  /** Holders that statements may be sent to, without this proxy. */
  others(settings: GroupSettings): readonly PresentProxy[];
}

interface Choice {
  readonly count: number;
  readonly isHolder: boolean;
  readonly others: readonly PresentProxy[];
}

/** Creates holders; a group's are chosen once for each list of proxies. */
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
