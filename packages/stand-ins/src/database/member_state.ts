/** Term and role of one member of a replication group. */
import {
  Configuration,
  Failure,
  LogPosition,
  TargetRole,
  compareLogPositions,
  createFailure,
} from '@kelpstep/protocol';
import type {Milliseconds, TimerService} from '@kelpstep/runtime';
import {Err, Ok, Result} from 'ts-results';

import type {CatchUp} from './catch_up';
import type {Store} from './store';

/** Term, role and pause of a member, and the operations that change them. */
export interface MemberState {
  role(): TargetRole;
  term(): number;
  /** Address of the followed primary, if any. */
  following(): string | undefined;
  /**
   * Returns a failure if the member is not the primary of exactly this term.
   */
  checkPrimary(term: number): Failure | undefined;
  /** Returns a failure while writes are paused. */
  checkPause(): Failure | undefined;
  /**
   * Makes the member a replica in the given term. Fails with `TERM_TOO_LOW`
   * unless the term is higher than the member's.
   */
  fence(term: number): Result<undefined, Failure>;
  /**
   * Makes the member primary of the term it was fenced at and writes an empty
   * barrier record. The barrier holds the given configuration if the log has
   * none yet. Returns the position of the barrier.
   */
  promote(
    term: number,
    configuration?: Configuration,
  ): Result<LogPosition, Failure>;
  /**
   * Writes a new configuration. Fails with `CONFIGURATION_CHANGED` unless the
   * current one is at the position `replaces`.
   */
  reconfigure(
    term: number,
    replaces: LogPosition,
    configuration: Configuration,
  ): Result<LogPosition, Failure>;
  /**
   * Makes the member a replica of the primary of a term. Fails if the term is
   * lower than its own or if the member is the primary of this term.
   */
  follow(term: number, primary: string): Result<undefined, Failure>;
  /** Refuses writes for a duration; returns the end of the log. */
  pauseWrites(
    term: number,
    duration: Milliseconds,
  ): Result<LogPosition, Failure>;
}

export interface MemberStateOptions {
  readonly timer: TimerService;
  readonly store: Store;
  readonly catchUp: CatchUp;
  /** Called before the member gives up its role in the current term. */
  readonly onStepDown: () => void;
  /** Called after the member started to follow a primary. */
  readonly onFollow: (term: number, primary: string) => void;
  readonly onChange: () => void;
}

/** Creates the state of a new member: a replica in term 0. */
export function createMemberState(options: MemberStateOptions): MemberState {
  const {timer, store, onStepDown, onFollow, onChange} = options;
  let role: TargetRole = 'replica';
  let term = 0;
  let fencedAt: number | undefined;
  let following: string | undefined;
  let barrier: LogPosition | undefined;
  let pausedUntil: Milliseconds | undefined;

  function termTooLowFailure(): Failure {
    return createFailure('TERM_TOO_LOW', {term});
  }

  function stepDown(newTerm: number): void {
    onStepDown();
    role = 'replica';
    term = newTerm;
    fencedAt = undefined;
    following = undefined;
    barrier = undefined;
    pausedUntil = undefined;
  }

  function checkPrimary(requestedTerm: number): Failure | undefined {
    if (requestedTerm < term) {
      return termTooLowFailure();
    }
    return role === 'primary' && requestedTerm === term
      ? undefined
      : createFailure('NOT_PRIMARY', {term});
  }

  function checkPause(): Failure | undefined {
    const remaining = (pausedUntil ?? -Infinity) - timer.now();
    return remaining > 0
      ? createFailure('WRITES_PAUSED', {retryAfter: remaining})
      : undefined;
  }

  function fence(newTerm: number): Result<undefined, Failure> {
    if (newTerm <= term) {
      return Err(termTooLowFailure());
    }
    stepDown(newTerm);
    fencedAt = newTerm;
    onChange();
    return Ok(undefined);
  }

  function promote(
    requestedTerm: number,
    initial?: Configuration,
  ): Result<LogPosition, Failure> {
    if (requestedTerm < term) {
      return Err(termTooLowFailure());
    }
    if (barrier !== undefined && requestedTerm === term) {
      return Ok(barrier);
    }
    if (fencedAt !== requestedTerm) {
      return Err(createFailure('NOT_FENCED', {term}));
    }
    fencedAt = undefined;
    role = 'primary';
    options.catchUp.becomePrimary();
    const configuration = store.configuration() ? undefined : initial;
    return store
      .write({term, statements: [], answersRows: false, configuration})
      .map(written => {
        barrier = written.at;
        return written.at;
      });
  }

  function reconfigure(
    requestedTerm: number,
    replaces: LogPosition,
    configuration: Configuration,
  ): Result<LogPosition, Failure> {
    const refusal = checkPrimary(requestedTerm) ?? checkPause();
    if (refusal !== undefined) {
      return Err(refusal);
    }
    const current = store.configuration();
    if (
      current === undefined ||
      compareLogPositions(current.at, replaces) !== 0
    ) {
      return Err(createFailure('CONFIGURATION_CHANGED', {term}));
    }
    return store
      .write({term, statements: [], answersRows: false, configuration})
      .map(({at}) => at);
  }

  function follow(
    newTerm: number,
    primary: string,
  ): Result<undefined, Failure> {
    if (newTerm < term) {
      return Err(termTooLowFailure());
    }
    if (newTerm === term && role === 'primary') {
      const message = 'It is the primary of this term.';
      return Err(createFailure('NOT_FENCED', {message, term}));
    }
    if (newTerm !== term || following !== primary) {
      stepDown(newTerm);
      following = primary;
      onChange();
      onFollow(newTerm, primary);
    }
    return Ok(undefined);
  }

  function pauseWrites(
    requestedTerm: number,
    duration: Milliseconds,
  ): Result<LogPosition, Failure> {
    const refusal = checkPrimary(requestedTerm);
    if (refusal !== undefined) {
      return Err(refusal);
    }
    pausedUntil = timer.now() + duration;
    return Ok(store.end());
  }

  return {
    role: () => role,
    term: () => term,
    following: () => following,
    checkPrimary,
    checkPause,
    fence,
    promote,
    reconfigure,
    follow,
    pauseWrites,
  };
}
