/**
 * Holds a change's row while promotions are ordered. Each write of the row
 * reserves epochs for some time, so that orders can be repeated while the store
 * does not answer; it is renewed before another proxy may take the change over.
 */
import type {LogPosition} from '@kelpstep/protocol';
import {
  type Future,
  type Milliseconds,
  type Runtime,
  type Task,
} from '@kelpstep/runtime';

import type {ReplicationHold} from './replication_hold';
import {EPOCHS_PER_WRITE, OTHER_PROXY_STEP_TIMEOUT_MS} from './succession_row';
import type {SuccessionRowWriter} from './succession_row_writer';

export interface EpochLease {
  /** Records the target of the next orders; false if the row was taken over. */
  begin(target: string, targetEnd: LogPosition): Task<boolean>;
  /** Starts to renew the lease if it is due, and does not wait for it. */
  renew(): void;
  /** The recorded target, or ''. */
  target(): string;
  /** Log end of the recorded target when it was selected. */
  targetEnd(): LogPosition | undefined;
  /** The highest reserved epoch. */
  epoch(): number;
  /** True once another proxy has written the row. */
  isLost(): boolean;
  /** See `contested` of the row. */
  isContested(): boolean;
  /** True if the target is recorded and an epoch is left for its orders. */
  mayOrder(target: string): boolean;
  /** An unused epoch; undefined if the lease is over or has none left. */
  takeEpoch(target: string): number | undefined;
  /** Earliest time at which another proxy may have taken the change over. */
  takeoverAt(): Milliseconds;
  /** Drops the reserved epochs: a higher one has been used elsewhere. */
  dropEpochs(): void;
  /** Waits for a write that is under way. */
  end(): Task<void>;
}

/**
 * Time after a write within which orders are sent. It is below the time after
 * which another proxy takes a change over.
 */
const LEASE_TIME_MS: Milliseconds = 2000;
const RENEWAL_TIME_MS: Milliseconds = 1000;

/**
 * Creates a lease. If the row has been taken over with a pending order, the
 * write of `rowWrittenAt` has reserved epochs already.
 */
export function createEpochLease(
  runtime: Runtime,
  hold: ReplicationHold,
  rowWriter: SuccessionRowWriter,
  rowWrittenAt: Milliseconds,
): EpochLease {
  const {timer} = runtime;
  const initial = rowWriter.succession();
  const isReserved = initial.phase === 'ordered';
  let nextEpoch = isReserved ? initial.epoch - EPOCHS_PER_WRITE + 1 : Infinity;
  let writtenAt = rowWrittenAt;
  let isLost = false;
  let pendingWrite: Future<boolean> | undefined;
  /** True if an order for the recorded target may have been sent. */
  let mayBeOrdered = isReserved;

  function startWrite(
    target: string,
    targetEnd: LogPosition | undefined,
  ): Future<boolean> {
    const {epoch, target: recorded, contested} = rowWriter.succession();
    const startedAt = timer.now();
    const isSwitched = mayBeOrdered && recorded !== target;
    const write = rowWriter.write({
      phase: 'ordered',
      target,
      epoch: epoch + EPOCHS_PER_WRITE,
      demotedEnd: hold.demotedLogEnd(),
      targetEnd,
      contested: contested === true || isSwitched,
    });
    const written = runtime.spawn('reserve epochs', write).result;
    pendingWrite = written;
    written.onSettled(isWritten => {
      pendingWrite = undefined;
      isLost ||= !isWritten;
      if (isWritten) {
        nextEpoch = Math.min(nextEpoch, epoch + 1);
        writtenAt = startedAt;
      }
    });
    return written;
  }

  function mayOrder(target: string): boolean {
    const row = rowWriter.succession();
    return (
      !isLost &&
      row.target === target &&
      nextEpoch <= row.epoch &&
      timer.now() - writtenAt < LEASE_TIME_MS
    );
  }

  function* end(): Task<void> {
    if (pendingWrite !== undefined) {
      yield* hold.awaitHolding(pendingWrite);
    }
  }

  return {
    *begin(target, targetEnd) {
      yield* end();
      return (
        !isLost && (yield* hold.awaitHolding(startWrite(target, targetEnd)))
      );
    },
    renew() {
      const {phase, target, targetEnd} = rowWriter.succession();
      const isDue = timer.now() - writtenAt >= RENEWAL_TIME_MS;
      if (phase === 'ordered' && isDue && !isLost && !pendingWrite) {
        startWrite(target, targetEnd);
      }
    },
    target: () => rowWriter.succession().target,
    targetEnd: () => rowWriter.succession().targetEnd,
    epoch: () => rowWriter.succession().epoch,
    isLost: () => isLost,
    isContested: () => rowWriter.succession().contested === true,
    mayOrder,
    takeEpoch(target) {
      if (!mayOrder(target)) {
        return undefined;
      }
      mayBeOrdered = true;
      return nextEpoch++;
    },
    takeoverAt: () => writtenAt + OTHER_PROXY_STEP_TIMEOUT_MS,
    dropEpochs() {
      nextEpoch = Infinity;
    },
    end,
  };
}
