/** Waits for conditions on processes that run. */
import {setTimeout as sleep} from 'node:timers/promises';

import {realClock} from './clock';

const POLL_INTERVAL = 20;
/** Generous, so that a busy machine changes no verdict. */
const LONGEST_WAIT = 60_000;

/** Repeats an observation until it gives something; throws after a minute. */
export async function eventually<T>(
  what: string,
  observe: () => Promise<T | undefined>,
): Promise<T> {
  const end = realClock.now() + LONGEST_WAIT;
  while (realClock.now() < end) {
    const value = await observe();
    if (value !== undefined) {
      return value;
    }
    await sleep(POLL_INTERVAL);
  }
  throw new Error(`Waited in vain for: ${what}.`);
}
