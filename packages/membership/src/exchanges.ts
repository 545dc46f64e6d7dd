/** Exchanges of state with other proxies, and the comparison of views. */
import type {Failure, PeerState} from '@kelpstep/protocol';
import {
  Future,
  Milliseconds,
  Runtime,
  Task,
  waitAtMost,
} from '@kelpstep/runtime';
import type {Result} from 'ts-results';

import type {Knowledge, Partner} from './knowledge';
import {MemberEntry, memberKey} from './member_table';
import type {Pace} from './pace';

/** Sends a state to a peer and gives its answer. */
export type PeerExchange = (
  address: string,
  state: PeerState,
) => Future<Result<PeerState, Failure>>;

/** The exchanges of one proxy. */
export interface Exchanges {
  /** Exchanges state with a partner; gives its answer, if there is one. */
  exchangeWith(
    partner: Partner,
    askDifferences?: boolean,
  ): Task<PeerState | undefined>;
  /** Starts an exchange with a known proxy. */
  contact(entry: MemberEntry): void;
  /** Learns from a state; the sender's address is where to ask for more. */
  hear(state: PeerState, address: string): void;
  /** Asks a partner for what it knows otherwise until it has no more. */
  compareViews(address: string): Task<void>;
}

/** What exchanges are made of. */
export interface ExchangesOptions {
  readonly runtime: Runtime;
  readonly knowledge: Knowledge;
  readonly exchange: PeerExchange;
  readonly pace: () => Pace;
}

/** Views that differ are compared once neither has changed for a while. */
const QUIET_INTERVALS = 3;
const MAXIMUM_COMPARISONS = 200;
/** A wait this much longer than asked means that the process was paused. */
const PAUSE_FACTOR = 1.5;

/** Creates the exchanges of a proxy. */
export function createExchanges(options: ExchangesOptions): Exchanges {
  const {runtime, knowledge, exchange, pace} = options;
  const {timer} = runtime;
  const {table, suspicions} = knowledge;
  const inProgress = new Set<string>();
  let isComparing = false;
  let comparedAt: Milliseconds = -Infinity;

  function* exchangeWith(
    partner: Partner,
    askDifferences = false,
  ): Task<PeerState | undefined> {
    const {address, key} = partner;
    if (inProgress.has(address)) {
      return undefined;
    }
    inProgress.add(address);
    try {
      const {exchangeTimeout} = pace();
      const startedAt = timer.now();
      const state = knowledge.describe(partner, {askDifferences});
      const reply = yield* waitAtMost(
        exchange(address, state),
        exchangeTimeout,
      );
      const took = timer.now() - startedAt;
      if (reply?.ok) {
        hearReply(partner, reply.val);
        return reply.val;
      }
      // After a pause of this process, answers may wait to be read.
      if (key !== undefined && took <= exchangeTimeout * PAUSE_FACTOR) {
        suspicions.accuse(key);
      }
      return undefined;
    } finally {
      inProgress.delete(address);
    }
  }

  function hearReply({key, address}: Partner, state: PeerState): void {
    if (key !== undefined && key !== memberKey(state.from)) {
      knowledge.replaced(key);
    }
    hear(state, address);
  }

  function hear(state: PeerState, address: string): void {
    knowledge.hear(state);
    compareLater(state, address);
  }

  /** Compares views if they differ though both have been quiet. */
  function compareLater({view}: PeerState, address: string): void {
    const quiet = QUIET_INTERVALS * pace().interval;
    const now = timer.now();
    const differs =
      view !== undefined &&
      view.checksum !== table.checksum() &&
      view.unchangedFor >= quiet &&
      now - table.changedAt() >= quiet;
    if (differs && !isComparing && now - comparedAt >= quiet) {
      runtime.spawn('compare views', compareViews(address));
    }
  }

  function* compareViews(address: string): Task<void> {
    isComparing = true;
    for (let round = 0; round < MAXIMUM_COMPARISONS; round++) {
      const before = table.checksum();
      const reply = yield* exchangeWith({address}, true);
      const isDone =
        reply === undefined ||
        reply.view?.checksum === table.checksum() ||
        before === table.checksum();
      if (isDone) {
        break;
      }
    }
    comparedAt = timer.now();
    isComparing = false;
  }

  function contact(entry: MemberEntry): void {
    const {address} = entry.update.proxy;
    runtime.spawn('exchange', exchangeWith({address, key: entry.key}));
  }

  return {exchangeWith, contact, hear, compareViews};
}
