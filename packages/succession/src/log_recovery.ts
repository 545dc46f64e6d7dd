/**
 * Gets a group's log back if its new primary leads without it: an order may be
 * executed at a target that has lost its log since.
 */
import {type LogPosition, compareLogPositions} from '@kelpstep/protocol';
import {
  type Milliseconds,
  type Runtime,
  type Task,
  mapFuture,
  sleep,
} from '@kelpstep/runtime';
import type {TargetStatus} from '@kelpstep/statements';
import type {TargetGroup} from '@kelpstep/targets';

import type {EpochLease} from './epoch_lease';
import {createGroupProbes} from './group_probes';
import {
  FENCING_ORDERS,
  MAXIMUM_FENCING_ROUNDS,
  type OrderSender,
} from './order_sender';
import {POLL_INTERVAL_MS, type ReplicationHold} from './replication_hold';

export interface LogRecoveryOptions {
  readonly runtime: Runtime;
  readonly group: TargetGroup;
  readonly sender: OrderSender;
  onStep(step: string, target: string, epoch: number): void;
}

export interface LogRecovery {
  /** Status of the target if it leads as a result of its order. */
  probeLeading(
    target: string,
    hold: ReplicationHold,
  ): Task<TargetStatus | undefined>;
  /**
   * Returns the term that the recorded target leads. If it leads without the log
   * for which it was selected, first promotes a target that still holds it, and
   * returns that one's term.
   */
  withLog(
    leading: TargetStatus,
    hold: ReplicationHold,
    lease: EpochLease,
  ): Task<number>;
}

/** Time for a target to answer whether it leads; it is asked repeatedly. */
const LEADERSHIP_PROBE_TIMEOUT_MS: Milliseconds = 150;
/** Time for a target to lead after a confirmed promotion. */
const TIMEOUT_MS: Milliseconds = 3000;

export function createLogRecovery(options: LogRecoveryOptions): LogRecovery {
  const {runtime, group, sender, onStep} = options;
  const {timer} = runtime;
  const {probeStatuses} = createGroupProbes(group);

  /** Status of the target if it leads as a result of its order. */
  function* probeLeading(
    target: string,
    hold: ReplicationHold,
  ): Task<TargetStatus | undefined> {
    const link = group.link(target);
    const probe = link && mapFuture(link.probeStatus(), status => ({status}));
    const deadline = timer.now() + LEADERSHIP_PROBE_TIMEOUT_MS;
    const answer = probe && (yield* hold.awaitHoldingUntil(probe, deadline));
    const status = answer?.status;
    const isLed = status?.role === 'primary';
    const isNew = hold.primary?.link !== link || hold.keepsPrimary();
    return isLed && isNew ? status : undefined;
  }

  /**
   * Promotes a target that still holds the log of `lost`, which leads although
   * it has lost it. A target that the new primary reaches is rolled back soon.
   */
  function* recoverLog(
    lost: string,
    end: LogPosition,
    hold: ReplicationHold,
    lease: EpochLease,
  ): Task<number | undefined> {
    const others = group
      .links()
      .filter(link => link.isReached() && link.target !== lost);
    const probed = yield* probeStatuses(others);
    const holder = probed.find(
      ({status}) =>
        status.role === 'replica' &&
        compareLogPositions(status.received, end) >= 0,
    );
    const target = holder?.link.target ?? '';
    onStep('leads without its log', lost, lease.epoch());
    if (!holder || !(yield* lease.begin(target, holder.status.received))) {
      return undefined;
    }
    for (let round = 0; round < MAXIMUM_FENCING_ROUNDS; round++) {
      const reply = yield* sender.send(hold, lease, FENCING_ORDERS);
      const until = timer.now() + (reply === 'done' ? TIMEOUT_MS : 0);
      do {
        const leading = yield* probeLeading(target, hold);
        if (leading !== undefined) {
          return leading.term;
        }
        lease.renew();
        yield* sleep(POLL_INTERVAL_MS);
      } while (timer.now() < until);
    }
    return undefined;
  }

  /** The term that the target leads, or that of a holder of the log it lost. */
  function* withLog(
    leading: TargetStatus,
    hold: ReplicationHold,
    lease: EpochLease,
  ): Task<number> {
    const end = lease.targetEnd();
    const isLost =
      end !== undefined && compareLogPositions(leading.received, end) < 0;
    const recovered = isLost
      ? yield* recoverLog(lease.target(), end, hold, lease)
      : undefined;
    return recovered ?? leading.term;
  }

  return {probeLeading, withLog};
}
