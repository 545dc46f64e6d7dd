/** Handles the signals that stop a process. */
import {EXIT_CODES} from './exit_code';

const STOP_SIGNALS = ['SIGTERM', 'SIGINT'] as const;

/**
 * Resolves at the first SIGTERM or SIGINT. A second one exits the process
 * immediately, so that an operator need not wait for a graceful stop.
 */
export function waitForStopSignal(): Promise<NodeJS.Signals> {
  return new Promise(resolve => {
    let received = false;
    function handleSignal(signal: NodeJS.Signals): void {
      if (received) {
        process.exit(EXIT_CODES.failure);
      }
      received = true;
      resolve(signal);
    }
    STOP_SIGNALS.forEach(signal => process.on(signal, handleSignal));
  });
}
