/** Live proxies and responsibilities, as used by other packages. */
import type {ProxyIdentity} from '@kelpstep/protocol';
import type {Unsubscribe} from '@kelpstep/runtime';

/** This proxy's view of the live proxies. */
export interface Membership {
  readonly self: ProxyIdentity;
  /** Proxies considered alive and not stopping, including this one. */
  liveProxies(): readonly ProxyIdentity[];
  /**
   * Proxies responsible for a name, for example a group, in descending order by
   * rendezvous hashing. Returns at most `count`, from as many data centres as
   * possible or only from `dataCentre`.
   */
  responsibleFor(
    name: string,
    count: number,
    dataCentre?: string,
  ): readonly ProxyIdentity[];
  /** True if this proxy is one of `responsibleFor`; cheaper than that call. */
  isResponsible(name: string, count: number, dataCentre?: string): boolean;
  /** Calls the listener after each change of the live proxies. */
  onChange(listener: () => void): Unsubscribe;
}
