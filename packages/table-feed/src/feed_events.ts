/** What a table feed tells of itself, for logs and metrics. */
import type {StoreFailure} from '@kelpstep/platform';

/** Takes a table feed's events. */
export interface TableFeedEvents {
  /** The store's feed of a table answers, or doesn't any more. */
  onFeed(table: string, isFollowing: boolean, failure?: StoreFailure): void;
  /** A subscription to another proxy began or ended. */
  onSubscription(address: string, isSubscribed: boolean, reason: string): void;
  /** This proxy became a distributor of its data centre, or ceased to be one. */
  onDistributor(slot: number, isDistributor: boolean): void;
  /** The address for other proxies could not be listened on. */
  onListenFailure(message: string): void;
}
