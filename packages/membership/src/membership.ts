/** What other parts use of the knowledge about live proxies. */
import type {ProxyIdentity} from '@kelpstep/protocol';
import type {Unsubscribe} from '@kelpstep/runtime';

/** The live proxies, as this one sees them. */
export interface Membership {
  readonly self: ProxyIdentity;
  /** Proxies believed to be alive and not stopping, this one included. */
  liveProxies(): readonly ProxyIdentity[];
  /**
   * The proxies responsible for a name (a group, say), most responsible first,
   * by rendezvous hashing; at most `count`, and from as many data centres as
   * possible, or only from one.
   */
  responsibleFor(
    name: string,
    count: number,
    dataCentre?: string,
  ): readonly ProxyIdentity[];
  /** True if this proxy is among them; cheaper than to ask for all. */
  isResponsible(name: string, count: number, dataCentre?: string): boolean;
  /** Calls the listener after each change of the live proxies. */
  onChange(listener: () => void): Unsubscribe;
}
