/** Policies that select the target of a read. */
import type {Milliseconds, Random} from '@kelpstep/runtime';

/**
 * State of a target from which a policy decides whether to send a read to it.
 */
export interface ReadTarget {
  readonly id: string;
  readonly isPrimary: boolean;
  /**
   * True if the target's log has reached the position that the read requires.
   */
  readonly holdsPosition: boolean;
  /** Predicted upper bound for the age of the target's data when it answers. */
  readonly expectedAge: Milliseconds;
  /**
   * Predicted time until the target answers, including queueing. Includes the
   * round trip once it is based on measurements.
   */
  readonly expectedTime: Milliseconds;
  /** Round trip to the target; estimated by data centre until measured. */
  readonly roundTrip: Milliseconds;
}

/** State of a read from which a policy selects the next action. */
export interface ReadPolicyInput {
  /** Reachable targets that are not leaving and have not failed this read. */
  readonly targets: readonly ReadTarget[];
  readonly maximumAge: Milliseconds;
  /** Time until the deadline. */
  readonly remaining: Milliseconds;
  /** Time spent waiting for an eligible target so far. */
  readonly waited: Milliseconds;
  /** True if a read barrier can still raise the known freshness of targets. */
  readonly mayRequestBarrier: boolean;
}

/** Next action for a read; durations are in milliseconds. */
export type ReadPlan =
  | {readonly action: 'send'; readonly target: string}
  | {readonly action: 'wait'; readonly duration: Milliseconds}
  /** Requests a read barrier; targets that hold its position are fresh. */
  | {readonly action: 'ask-barrier'}
  | {readonly action: 'refuse'};

/** Selects the next action for a read. */
export type ReadPolicy = (input: ReadPolicyInput, random: Random) => ReadPlan;

/** Settings of the policy that prefers replicas. */
export interface ReplicaPreferenceSettings {
  /** Longest wait for a replica to catch up before the primary is used. */
  readonly maximumReplicaWait: Milliseconds;
  /**
   * Time added to the primary's cost. A replica is preferred unless it is
   * slower by more than this.
   */
  readonly primaryPenalty: Milliseconds;
  /**
   * Ratio by which the cost varies randomly, so that the proxies' reads spread
   * over the targets.
   */
  readonly jitterRatio: number;
  /**
   * Time for a proxy to learn a group's members. No read is refused before it
   * has waited this long.
   */
  readonly coldStart: Milliseconds;
}

/** Settings that apply unless they are overridden; times in milliseconds. */
export const DEFAULT_REPLICA_PREFERENCE: ReplicaPreferenceSettings = {
  maximumReplicaWait: 6,
  primaryPenalty: 50,
  jitterRatio: 0.1,
  coldStart: 200,
};

const MINIMUM_WAIT_MS: Milliseconds = 1;
const MAXIMUM_WAIT_MS: Milliseconds = 20;

function isEligible(
  target: ReadTarget,
  {maximumAge}: ReadPolicyInput,
): boolean {
  return target.holdsPosition && target.expectedAge <= maximumAge;
}

/** Waits for half the time waited so far, so that long waits poll rarely. */
function planWait({waited, remaining}: ReadPolicyInput): ReadPlan {
  const wait = Math.min(MAXIMUM_WAIT_MS, Math.max(MINIMUM_WAIT_MS, waited / 2));
  return {action: 'wait', duration: Math.min(wait, remaining)};
}

/**
 * Creates a policy that prefers replicas. If no replica is eligible, the policy
 * first waits briefly for a fresh replica to reach the position. It then
 * selects the eligible target of lowest cost by round trip and load; if there
 * is none, it requests a read barrier or waits. It refuses the read if no
 * target is reachable after `coldStart`.
 */
export function createReplicaPreferencePolicy(
  settings: ReplicaPreferenceSettings = DEFAULT_REPLICA_PREFERENCE,
): ReadPolicy {
  function cost(target: ReadTarget, random: Random): Milliseconds {
    const penalty = target.isPrimary ? settings.primaryPenalty : 0;
    // A measured expected time includes the round trip. Before the first
    // measurement it is an estimate, so the round trip is the lower bound.
    const time = Math.max(target.roundTrip, target.expectedTime);
    return random.jitter(time + penalty, settings.jitterRatio);
  }

  function cheapest(
    targets: readonly ReadTarget[],
    random: Random,
  ): ReadTarget | undefined {
    let best: ReadTarget | undefined;
    let lowestCost = Infinity;
    for (const target of targets) {
      const targetCost = cost(target, random);
      if (targetCost < lowestCost) {
        best = target;
        lowestCost = targetCost;
      }
    }
    return best;
  }

  function isFreshReplica(
    target: ReadTarget,
    {maximumAge}: ReadPolicyInput,
  ): boolean {
    return !target.isPrimary && target.expectedAge <= maximumAge;
  }

  return (input, random) => {
    const {targets, waited, mayRequestBarrier} = input;
    const eligible = targets.filter(target => isEligible(target, input));
    const hasEligibleReplica = eligible.some(target => !target.isPrimary);
    const hasFreshReplica = targets.some(target =>
      isFreshReplica(target, input),
    );
    if (
      !hasEligibleReplica &&
      hasFreshReplica &&
      waited < settings.maximumReplicaWait
    ) {
      return planWait(input);
    }
    const best = cheapest(eligible, random);
    if (best !== undefined) {
      return {action: 'send', target: best.id};
    }
    if (targets.length === 0 && waited >= settings.coldStart) {
      return {action: 'refuse'};
    }
    return targets.length > 0 && mayRequestBarrier
      ? {action: 'ask-barrier'}
      : planWait(input);
  };
}

/** Sends every read to the primary; a baseline for benchmarks. */
export const readFromPrimary: ReadPolicy = input => {
  const primary = input.targets.find(
    target => target.isPrimary && isEligible(target, input),
  );
  if (primary !== undefined) {
    return {action: 'send', target: primary.id};
  }
  return input.mayRequestBarrier ? {action: 'ask-barrier'} : planWait(input);
};

/** Sends each read to a random eligible target; a baseline for benchmarks. */
export const readFromRandom: ReadPolicy = (input, random) => {
  const eligible = input.targets.filter(target => isEligible(target, input));
  if (eligible.length > 0) {
    return {action: 'send', target: random.pick(eligible).id};
  }
  return input.mayRequestBarrier ? {action: 'ask-barrier'} : planWait(input);
};
