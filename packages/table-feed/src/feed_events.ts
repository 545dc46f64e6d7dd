/** What a table feed tells of itself, for logs and metrics. */
import type {StoreFailure} from '@kelpstep/platform';
import type {Milliseconds} from '@kelpstep/runtime';

/** The store's feed of a table answers, or doesn't any more. */
export interface FeedChange {
  readonly table: string;
  readonly isFollowing: boolean;
  /** Why it doesn't. */
  readonly failure?: StoreFailure;
  /** Time from the question to its answer or failure. */
  readonly waited: Milliseconds;
}

/** Takes a table feed's events. */
export interface TableFeedEvents {
  onFeed(change: FeedChange): void;
  /** The store no longer keeps the changes after the copy's version. */
  onHistoryLost(table: string, version: number): void;
  /** The store answered from an older state than the copy's. */
  onOlderAnswer(table: string, version: number, known: number): void;
  /** A subscription to another proxy began or ended. */
  onSubscription(address: string, isSubscribed: boolean, reason: string): void;
  /** This proxy became a distributor of its data centre, or ceased to be one. */
  onDistributor(slot: number, isDistributor: boolean): void;
  /** The address for other proxies could not be listened on. */
  onListenFailure(message: string): void;
}

/** Events that nobody listens to. */
export const IGNORED_FEED_EVENTS: TableFeedEvents = {
  onFeed: () => {},
  onHistoryLost: () => {},
  onOlderAnswer: () => {},
  onSubscription: () => {},
  onDistributor: () => {},
  onListenFailure: () => {},
};
