/** Stops a server that listens on a port without resetting connections. */
import type {Milliseconds, TimerService} from '@kelpstep/runtime';
import type {Server} from 'node:net';

/**
 * Time without a new connection after which the port is closed. Connections that
 * wait to be accepted when it closes are reset.
 */
const QUIET_TIME_MS: Milliseconds = 100;
/** Longest time for which the server goes on to accept connections. */
const LONGEST_WAIT_MS: Milliseconds = 1000;

/**
 * Closes the server's port once no connection has arrived for some time. Until
 * then connections are accepted as before; whoever answers on them has to tell
 * callers to go elsewhere. `onClosing` is called when the port closes.
 */
export function closeWhenQuiet(
  server: Server,
  timer: TimerService,
  onClosing: () => void,
): void {
  const startedAt = timer.now();
  let cancel = timer.after(QUIET_TIME_MS, onQuiet);

  function onQuiet(): void {
    server.off('connection', postpone);
    onClosing();
  }

  function postpone(): void {
    const remaining = startedAt + LONGEST_WAIT_MS - timer.now();
    cancel();
    cancel = timer.after(
      Math.max(0, Math.min(QUIET_TIME_MS, remaining)),
      onQuiet,
    );
  }

  server.on('connection', postpone);
}
