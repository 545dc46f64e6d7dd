/** The timer service, the only source of time in all other modules. */
import {Unsubscribe} from './deferred';

/** Milliseconds: a duration, or a time of one of the two clocks. */
export type Milliseconds = number;

/** Clocks and timers; replaces the global timers. */
export interface TimerService {
  /** Monotonic clock in milliseconds from an arbitrary origin. */
  now(): Milliseconds;
  /** Wall clock in milliseconds since 1970. It may be set forward or back. */
  wallClock(): Milliseconds;
  /** Calls the listener once after the delay. */
  after(delay: Milliseconds, listener: () => void): Unsubscribe;
  /** Calls the listener once per period until unsubscribed. */
  every(period: Milliseconds, listener: () => void): Unsubscribe;
}
