/** Waits for conditions on running processes. */
import {setTimeout as sleep} from 'node:timers/promises';

import {realClock} from './clock';

const POLL_INTERVAL_MS = 20;
/** Long enough that a busy machine does not fail a test. */
const TIMEOUT_MS = 60_000;

/**
 * Repeats an observation until its result is defined; rejects after a minute.
 */
export async function eventually<T>(
  description: string,
  observe: () => Promise<T | undefined>,
): Promise<T> {
  const deadline = realClock.now() + TIMEOUT_MS;
  while (realClock.now() < deadline) {
    const value = await observe();
    if (value !== undefined) {
      return value;
    }
    await sleep(POLL_INTERVAL_MS);
  }
  throw new Error(
    `Timed out after ${TIMEOUT_MS} ms waiting for ${description}.`,
  );
}
