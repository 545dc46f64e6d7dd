/**
 * Keeps when peers last reported that they could start statements, and chooses
 * the peer at which a statement waits if none starts it at once. Does no input
 * or output.
 *
 * This matters when all connections of some owners are held by idle
 * transactions, or when a burst reaches the owners of one data centre first.
 */
import type {Milliseconds} from '@kelpstep/runtime';

/** What a peer reported when it did not run a statement. */
export interface PeerReport {
  /** Remaining time until it could start the statement; undefined if unknown. */
  readonly wait: Milliseconds | undefined;
}

/** Peers that did not run a statement lately, by workload and peer. */
export interface PeerReports {
  /** Records that a peer did not run or answer a statement. */
  record(
    workload: string,
    proxy: string,
    wait: Milliseconds | undefined,
    now: Milliseconds,
  ): void;
  /**
   * Records that a peer had no room for a statement and reported no wait, as
   * older peers do: it may still start the statement in time.
   */
  recordWithoutWait(workload: string, proxy: string, now: Milliseconds): void;
  /** True if the recent report is one of `recordWithoutWait`. */
  isWithoutWait(workload: string, proxy: string, now: Milliseconds): boolean;
  /** The peer's report; undefined without a recent one. */
  current(
    workload: string,
    proxy: string,
    now: Milliseconds,
  ): PeerReport | undefined;
}

/**
 * Time for which a peer that did not run or answer a statement is not tried
 * again for the same workload, except by statements that may wait. A peer
 * without a target thus gets at most four other statements per second and
 * workload from this proxy. Reports are not older, because an owner's
 * transactions may end at any time.
 */
const REPORT_LIFETIME_MS: Milliseconds = 250;

interface StoredReport extends PeerReport {
  readonly at: Milliseconds;
  readonly until: Milliseconds;
  readonly isWithoutWait: boolean;
}

/** Creates a store without reports. */
export function createPeerReports(): PeerReports {
  const reports = new Map<string, StoredReport>();

  function store(
    workload: string,
    proxy: string,
    report: Omit<StoredReport, 'until'>,
  ): void {
    const {wait = Infinity, at} = report;
    const until = at + Math.min(wait, REPORT_LIFETIME_MS);
    reports.set(`${workload} ${proxy}`, {...report, until});
  }

  function find(
    workload: string,
    proxy: string,
    now: Milliseconds,
  ): StoredReport | undefined {
    const report = reports.get(`${workload} ${proxy}`);
    return report === undefined || now >= report.until ? undefined : report;
  }

  return {
    record: (workload, proxy, wait, at) =>
      store(workload, proxy, {wait, at, isWithoutWait: false}),
    recordWithoutWait: (workload, proxy, at) =>
      store(workload, proxy, {wait: undefined, at, isWithoutWait: true}),
    isWithoutWait: (workload, proxy, now) =>
      find(workload, proxy, now)?.isWithoutWait ?? false,
    current(workload, proxy, now) {
      const report = find(workload, proxy, now);
      if (report === undefined) {
        return undefined;
      }
      const {wait, at} = report;
      return {wait: wait === undefined ? undefined : wait - (now - at)};
    },
  };
}

/** A peer, with the time after which a statement sent to it could start. */
export interface WaitingPlace<P> {
  readonly peer: P;
  readonly roundTrip: Milliseconds;
  /** Undefined if the peer has not reported any. */
  readonly wait?: Milliseconds | undefined;
}

/**
 * Where a statement waits. `here`: at this proxy; `refused`: it could start
 * nowhere in time, but after `wait`; `unknown`: no wait is known.
 */
export type WaitingChoice<P> =
  | {readonly kind: 'peer'; readonly peer: P}
  | {readonly kind: 'refused'; readonly wait: Milliseconds}
  | {readonly kind: 'here' | 'unknown'};

/**
 * Chooses where a statement waits that no peer starts at once. `places` has the
 * preferred peers first; `timeLeft` is the time in which the statement must
 * start, `ownWait` the wait at this proxy if it may run the statement.
 */
export function chooseWaitingPlace<P>(
  places: ReadonlyArray<WaitingPlace<P>>,
  timeLeft: Milliseconds,
  ownWait: Milliseconds | undefined,
): WaitingChoice<P> {
  const timeTo = ({roundTrip, wait = Infinity}: WaitingPlace<P>) =>
    roundTrip + wait;
  const own = ownWait ?? Infinity;
  const best = places.find(place => timeTo(place) <= timeLeft);
  if (own <= timeLeft && (best === undefined || own <= timeTo(best))) {
    return {kind: 'here'};
  }
  if (best !== undefined) {
    return {kind: 'peer', peer: best.peer};
  }
  const shortest = Math.min(own, ...places.map(timeTo));
  return shortest === Infinity
    ? {kind: 'unknown'}
    : {kind: 'refused', wait: shortest};
}
