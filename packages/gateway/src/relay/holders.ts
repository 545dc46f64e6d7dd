/**
 * Which proxies hold connections to a group's targets. All do where the targets
 * take enough connections; otherwise as many as they take, spread over the data
 * centres, the same ones in every proxy's view.
 */
import {
  type PresentProxy,
  createCandidateSet,
  pickResponsible,
} from '@kelpstep/membership';
import {type GroupSettings, mostHolders} from '@kelpstep/targets';

/** What holders are chosen from. */
export interface HoldersOptions {
  readonly self: PresentProxy;
  /** Proxies that run; another array after each change. */
  live(): readonly PresentProxy[] | undefined;
}

/** The holders of each group. */
export interface Holders {
  /** True if this proxy is one; false while the others aren't known. */
  holds(settings: GroupSettings): boolean;
  /** How many there are; `Infinity` while that isn't known. */
  count(settings: GroupSettings): number;
  /** True once the proxies that run are known. */
  areKnown(): boolean;
  /** Holders that statements may be sent to, without this proxy. */
  others(settings: GroupSettings): readonly PresentProxy[];
}

/** Creates holders. */
export function createHolders(options: HoldersOptions): Holders {
  const {self} = options;
  let chosenFrom: readonly PresentProxy[] = [];
  const chosen = new Map<string, readonly PresentProxy[]>();

  function holdersOf({
    group,
    connectionLimit,
  }: GroupSettings): readonly PresentProxy[] | undefined {
    const live = options.live();
    if (live === undefined) {
      return undefined;
    }
    const most = mostHolders(connectionLimit);
    if (live.length <= most) {
      return live;
    }
    if (live !== chosenFrom) {
      chosenFrom = live;
      chosen.clear();
    }
    const key = `${group} ${most}`;
    const known = chosen.get(key);
    if (known !== undefined) {
      return known;
    }
    const picked = pickResponsible(group, createCandidateSet(live), most);
    chosen.set(key, picked);
    return picked;
  }

  return {
    holds(settings) {
      const holders = holdersOf(settings);
      return holders?.some(({proxy}) => proxy === self.proxy) ?? false;
    },
    areKnown: () => options.live() !== undefined,
    count: settings => holdersOf(settings)?.length ?? Infinity,
    others: settings =>
      (holdersOf(settings) ?? []).filter(
        ({proxy, relayAddress}) => proxy !== self.proxy && relayAddress !== '',
      ),
  };
}
