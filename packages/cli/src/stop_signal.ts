/** Waits for the signals that ask a process to stop. */
import {EXIT_CODES} from './exit_code';

const SIGNALS = ['SIGTERM', 'SIGINT'] as const;

/**
 * Resolves at the first signal. A second one ends the process at once, for an
 * operator who won't wait for the graceful stop.
 */
export function stopSignal(): Promise<NodeJS.Signals> {
  return new Promise(resolve => {
    let received = false;
    function receive(signal: NodeJS.Signals): void {
      if (received) {
        process.exit(EXIT_CODES.failure);
      }
      received = true;
      resolve(signal);
    }
    SIGNALS.forEach(signal => process.on(signal, receive));
  });
}
