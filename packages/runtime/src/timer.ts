/** The timer service: the only source of time for every other module. */
import {Unsubscribe} from './deferred';

/** Milliseconds, as a duration or a point on one of the two clocks. */
export type Milliseconds = number;

/** What parts subscribe to in place of the global timers. */
export interface TimerService {
  /** Monotonic clock in milliseconds. Its zero has no meaning. */
  now(): Milliseconds;
  /** Wall clock in milliseconds since 1970. It may jump. */
  wallClock(): Milliseconds;
  /** Calls the listener once after the delay. */
  after(delay: Milliseconds, listener: () => void): Unsubscribe;
  /** Calls the listener every period until it is unsubscribed. */
  every(period: Milliseconds, listener: () => void): Unsubscribe;
}
