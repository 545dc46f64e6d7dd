/**
 * Holds a group's logs still while its primary is changed. From the choice of a
 * successor until its promotion takes effect, no commit may be acknowledged that
 * the successor lacks: replicas are paused, the primary is demoted if it
 * answers, and both are repeated, because a restart ends a pause and targets may
 * join.
 */
import {type LogPosition, compareLogPositions} from '@kelpstep/protocol';
import {
  type Future,
  type Milliseconds,
  type Runtime,
  type Task,
  mapFuture,
  sleep,
  waitWithTimeout,
} from '@kelpstep/runtime';
import type {
  ReadTargetStatus,
  TargetCommand,
  TargetStatus,
} from '@kelpstep/statements';
import type {TargetGroup, TargetLink} from '@kelpstep/targets';

import type {TimedAnswer} from './choice_report';

/** The primary that is to be replaced, and the term in which it led. */
export interface ReplacedPrimary {
  readonly link: TargetLink;
  readonly term: number;
  /** Its log end when an earlier holder of the change demoted it. */
  readonly demotedEnd?: LogPosition | undefined;
  /** Log end that holds all commits, according to an earlier holder. */
  readonly completeEnd?: LogPosition | undefined;
}

/** A target of the group and its newest answer during this hold. */
export interface HeldTarget {
  readonly link: TargetLink;
  readonly answer: TimedAnswer | undefined;
}

export interface ReplicationHold {
  readonly primary: ReplacedPrimary | undefined;
  /** All targets of the group except the primary. */
  members(): readonly HeldTarget[];
  primaryAnswer(): TimedAnswer | undefined;
  /** Term for which replication is stopped. */
  term(): number;
  /** Asks members for their status only, until `stopMembers`. */
  observeMembers(): void;
  stopMembers(): void;
  /**
   * Answers of members count only if they were requested from now on: until now,
   * the primary may have had commits acknowledged.
   */
  requireNewAnswers(): void;
  answersSince(): Milliseconds;
  /**
   * Demotes the primary from now on, also when it returns later, and members
   * that report the primary role.
   */
  startDemoting(): void;
  isDemoting(): boolean;
  /**
   * Starts demoting and waits for the answer; false if the primary did not
   * answer or led no more.
   */
  demotePrimary(): Task<boolean>;
  /** True if the target can't receive or acknowledge records. */
  isStopped(answer: TimedAnswer | undefined): boolean;
  /**
   * Log end of the demoted primary, which includes every commit; undefined
   * unless it was demoted in the term in which it led and still is a replica.
   */
  demotedLogEnd(): LogPosition | undefined;
  /** True if members are paused, not only observed. */
  isStopping(): boolean;
  /** Records that a comparison of all logs found all commits up to `end`. */
  recordCompleteEnd(end: LogPosition): void;
  /**
   * End that a log must have reached to hold all commits; undefined if it is not
   * known. Unlike the demoted primary's log end, it does not count records that
   * no other target had received when all logs were compared.
   */
  completeEnd(): LogPosition | undefined;
  /**
   * Records the target of the newest order. The primary is not demoted while its
   * own promotion is ordered.
   */
  setOrdered(target: string): void;
  /** True while the newest order is for the primary itself. */
  keepsPrimary(): boolean;
  /** True once a target has reported a term above all known before. */
  isOver(): boolean;
  /** Sends the commands that are due; to be called repeatedly. */
  refresh(): void;
  /** Waits for `future`, and refreshes meanwhile. */
  awaitHolding<T>(future: Future<T>): Task<T>;
  /**
   * The same, until a monotonic time or `mustEnd`; undefined if there is no result
   * then.
   */
  awaitHoldingUntil<T>(
    future: Future<T>,
    deadline: Milliseconds,
    mustEnd?: () => boolean,
  ): Task<T | undefined>;
  /** Waits for one poll interval, and refreshes before. */
  pollHolding(): Task<void>;
}

export interface ReplicationHoldOptions {
  readonly runtime: Runtime;
  readonly group: TargetGroup;
  readonly readStatus: ReadTargetStatus;
  readonly primary: ReplacedPrimary | undefined;
  /** Highest term known before, including those for which targets are held. */
  readonly highestTerm: number;
  /** Highest term in which a target is known to have led. */
  readonly newestTerm: number;
}

/**
 * Time for a target to execute a command. Commands are sent on the control
 * connection, so they don't wait for statements.
 */
export const COMMAND_TIMEOUT_MS: Milliseconds = 400;
export const POLL_INTERVAL_MS: Milliseconds = 20;
/** Age of an answer at which its target is asked again. */
const REFRESH_INTERVAL_MS: Milliseconds = 100;

/** A log end that holds all commits. */
interface CompleteEnd {
  readonly end: LogPosition;
  /** Log end of the demoted primary at the comparison; undefined if unknown. */
  readonly primaryEnd: LogPosition | undefined;
}

function isSamePosition(
  left: LogPosition | undefined,
  right: LogPosition | undefined,
): boolean {
  return left === undefined || right === undefined
    ? left === right
    : compareLogPositions(left, right) === 0;
}

export function createReplicationHold(
  options: ReplicationHoldOptions,
): ReplicationHold {
  const {runtime, group, primary} = options;
  const {timer} = runtime;
  // A target that starts anew has another link, so its answers don't count.
  const answers = new Map<TargetLink, TimedAnswer>();
  const pending = new Set<TargetLink>();
  let term = options.highestTerm + 1;
  let memberCommand: 'status' | 'pause' = 'pause';
  let isDemoting = false;
  let orderedTarget = '';
  let requiredSince: Milliseconds = -Infinity;
  /** Log end that the primary had when it led, which it has at least. */
  let lowestDemotedEnd = primary?.demotedEnd;
  let complete: CompleteEnd | undefined =
    primary?.completeEnd && primary.demotedEnd
      ? {end: primary.completeEnd, primaryEnd: primary.demotedEnd}
      : undefined;

  function memberLinks(): TargetLink[] {
    return group.links().filter(link => link !== primary?.link);
  }

  /** Without the check, the target of the hold's own order would be demoted. */
  function hasNewTerm(status: TargetStatus): boolean {
    return status.term > (primary?.term ?? options.newestTerm);
  }

  function isOver(): boolean {
    return [...answers.values()].some(({status}) => hasNewTerm(status));
  }

  /** A pause is certain to take effect only above all terms that a target knows. */
  function raiseTerm(status: TargetStatus): void {
    if (status.termHeld > term || status.term >= term) {
      term = Math.max(status.termHeld, status.term) + 1;
    }
  }

  /**
   * Drops the complete end once a member has a longer log, or leads: the primary
   * has led again since the comparison, and may have had commits acknowledged.
   */
  function checkCompleteEnd(link: TargetLink, status: TargetStatus): void {
    const isMember = link !== primary?.link;
    const hasGrown =
      complete !== undefined &&
      compareLogPositions(status.received, complete.end) > 0;
    if (isMember && (hasGrown || status.role === 'primary')) {
      complete = undefined;
    }
  }

  /** A primary whose log ends before an end that was known has lost its log. */
  function recordPrimaryEnd(link: TargetLink, status: TargetStatus): void {
    const isLeading =
      link === primary?.link &&
      status.role === 'primary' &&
      status.term === primary.term;
    const isLater =
      lowestDemotedEnd === undefined ||
      compareLogPositions(status.received, lowestDemotedEnd) > 0;
    if (isLeading && isLater) {
      lowestDemotedEnd = status.received;
    }
  }

  function send(link: TargetLink, command: TargetCommand): void {
    const requestedAt = timer.now();
    pending.add(link);
    link.sendCommand(command, COMMAND_TIMEOUT_MS).onSettled(reply => {
      pending.delete(link);
      const status = reply.ok ? options.readStatus(reply.val) : undefined;
      if (status !== undefined) {
        answers.set(link, {status, requestedAt});
        raiseTerm(status);
        recordPrimaryEnd(link, status);
        checkCompleteEnd(link, status);
      }
    });
  }

  function isDue(link: TargetLink): boolean {
    const answer = answers.get(link);
    const isOld =
      answer === undefined ||
      answer.requestedAt < requiredSince ||
      timer.now() - answer.requestedAt >= REFRESH_INTERVAL_MS ||
      mustStopNow(link, answer) ||
      mustDemoteNow(link, answer);
    return !pending.has(link) && isOld;
  }

  /** True for a member that is not stopped yet and can be stopped now. */
  function mustStopNow(link: TargetLink, answer: TimedAnswer): boolean {
    const isLeading = answer.status.role === 'primary';
    return (
      link !== primary?.link &&
      memberCommand === 'pause' &&
      !isStopped(answer) &&
      !hasNewTerm(answer.status) &&
      (!isLeading || isDemoting)
    );
  }

  /** True for the primary if it is known to lead and its demotion is due. */
  function mustDemoteNow(link: TargetLink, {status}: TimedAnswer): boolean {
    return (
      link === primary?.link &&
      isDemoting &&
      status.role === 'primary' &&
      !keepsPrimary()
    );
  }

  function refresh(): void {
    if (isOver()) {
      // A pause or demotion that arrives now would concern the new term.
      return;
    }
    for (const link of memberLinks().filter(isDue)) {
      send(link, commandFor(link));
    }
    if (primary !== undefined && isDemoting && isDue(primary.link)) {
      send(primary.link, commandForPrimary(primary.link));
    }
  }

  /**
   * A primary that returns is first asked for its status: its log holds every
   * commit only if it leads until it is demoted.
   */
  function commandForPrimary(link: TargetLink): TargetCommand {
    const isUnknown = lowestDemotedEnd === undefined && !answers.has(link);
    return isUnknown || keepsPrimary()
      ? {kind: 'status'}
      : {kind: 'demote', term};
  }

  /** A member may be the former primary, which has returned under another id. */
  function commandFor(member: TargetLink): TargetCommand {
    if (isDemoting && answers.get(member)?.status.role === 'primary') {
      return {kind: 'demote', term};
    }
    return memberCommand === 'pause' ? {kind: 'pause', term} : {kind: 'status'};
  }

  function keepsPrimary(): boolean {
    return primary !== undefined && orderedTarget === primary.link.target;
  }

  function isStopped(answer: TimedAnswer | undefined): boolean {
    return (
      answer !== undefined &&
      answer.status.role === 'replica' &&
      answer.status.termHeld === term &&
      !hasNewTerm(answer.status)
    );
  }

  function primaryAnswer(): TimedAnswer | undefined {
    return primary && answers.get(primary.link);
  }

  function completeEnd(): LogPosition | undefined {
    const primaryEnd = demotedLogEnd();
    // A primary whose log has grown has led again and may have had commits
    // acknowledged.
    return complete && isSamePosition(complete.primaryEnd, primaryEnd)
      ? complete.end
      : primaryEnd;
  }

  function* awaitHolding<T>(future: Future<T>): Task<T> {
    for (;;) {
      refresh();
      const result = yield* waitWithTimeout(future, POLL_INTERVAL_MS);
      if (result !== undefined) {
        return result;
      }
    }
  }

  function* awaitHoldingUntil<T>(
    future: Future<T>,
    deadline: Milliseconds,
    mustEnd: () => boolean = () => false,
  ): Task<T | undefined> {
    for (;;) {
      refresh();
      const remaining = deadline - timer.now();
      const result = yield* waitWithTimeout(
        future,
        Math.min(remaining, POLL_INTERVAL_MS),
      );
      if (result !== undefined || remaining <= POLL_INTERVAL_MS || mustEnd()) {
        return result;
      }
    }
  }

  function* pollHolding(): Task<void> {
    refresh();
    yield* sleep(POLL_INTERVAL_MS);
  }

  function requireNewAnswers(): void {
    requiredSince = timer.now();
  }

  function startDemoting(): void {
    isDemoting = true;
  }

  function* demotePrimary(): Task<boolean> {
    if (primary === undefined) {
      return false;
    }
    const probe = mapFuture(primary.link.probeStatus(), status => ({status}));
    const {status: before} = yield* awaitHolding(probe);
    startDemoting();
    // A replica that answers may have been replaced without knowing it yet.
    if (before?.role !== 'primary' || before.term !== primary.term) {
      return false;
    }
    recordPrimaryEnd(primary.link, before);
    const deadline = timer.now() + COMMAND_TIMEOUT_MS;
    while (demotedLogEnd() === undefined && timer.now() < deadline) {
      yield* pollHolding();
    }
    return demotedLogEnd() !== undefined;
  }

  function demotedLogEnd(): LogPosition | undefined {
    const status = primaryAnswer()?.status;
    const isDemoted =
      status?.role === 'replica' &&
      !hasNewTerm(status) &&
      lowestDemotedEnd !== undefined &&
      // A log that ends earlier was lost.
      compareLogPositions(status.received, lowestDemotedEnd) >= 0;
    return isDemoted ? status.received : undefined;
  }

  return {
    primary,
    members: () =>
      memberLinks().map(link => ({link, answer: answers.get(link)})),
    primaryAnswer,
    term: () => term,
    observeMembers() {
      memberCommand = 'status';
    },
    stopMembers() {
      memberCommand = 'pause';
      requireNewAnswers();
    },
    isStopping: () => memberCommand === 'pause',
    recordCompleteEnd(end) {
      complete = {end, primaryEnd: demotedLogEnd()};
    },
    completeEnd,
    setOrdered(target) {
      orderedTarget = target;
    },
    keepsPrimary,
    requireNewAnswers,
    answersSince: () => requiredSince,
    startDemoting,
    isDemoting: () => isDemoting,
    demotePrimary,
    isStopped,
    demotedLogEnd,
    isOver,
    refresh,
    awaitHolding,
    awaitHoldingUntil,
    pollHolding,
  };
}
