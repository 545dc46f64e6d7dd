/** The clock of tests and measurements on processes. */
import {createRealTimer} from '@kelpstep/runtime';

/** Real time. */
export const realClock = createRealTimer();
