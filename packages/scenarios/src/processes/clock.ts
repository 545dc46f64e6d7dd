/** Clock for tests and measurements that run real processes. */
import {createRealTimer} from '@kelpstep/runtime';

/** Timer service that uses the system clock. */
export const realClock = createRealTimer();
